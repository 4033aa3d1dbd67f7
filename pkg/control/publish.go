package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/settings"
)

// Timeouts and intervals of the platform API.
const (
	// platformAPIRequestTimeout bounds a whole request, whose body may be the largest configuration on a slow link.
	platformAPIRequestTimeout = time.Minute
	// leaseWaitTimeout bounds how long a request waits for a new leader's lease, leasePollInterval is the
	// interval of the checks. Clients switch to another replica after one second.
	leaseWaitTimeout  = 700 * time.Millisecond
	leasePollInterval = 20 * time.Millisecond
)

// Publication is a version that an operator creates, approves and rolls in one step.
type Publication struct {
	// Base is the version that it builds on, zero for none; Version is its own number.
	Base    uint64
	Version uint64
	Content bundle.Content
	// Source is the original document, which LatestDocument returns unchanged.
	Source []byte
}

// Publish makes a publication the active version. It is idempotent. The error is a
// *catalog.OperationError.
func (s *Server) Publish(ctx context.Context, p Publication) error {
	content := p.Content.Normalized()
	invalid := s.validate(content)
	var decided *catalog.Result
	var level catalog.Level
	err := s.readAwaitingLease(ctx, func(time.Duration) {
		decided = knownPublicationResult(s.replica.Catalog(), p, invalid)
		level = s.minContentLevel()
	})
	if err != nil {
		return err
	}
	if decided != nil {
		return errorOrNil(decided.Error)
	}
	content = catalog.WithoutOptionalFields(content, level)
	tree, err := bundle.NewTree(content)
	if err != nil {
		return fmt.Errorf("compute bundle digest: %w", err)
	}
	result, err := s.proposeFunc(ctx, func() catalog.Command {
		return catalog.Command{Publish: s.replica.Catalog().NewPublish(p.Base, p.Version, content, tree.Root(), p.Source)}
	})
	s.logger.Log("event", "publication", "version", p.Version, "base", p.Base, "revision", result.Revision, "level", int(level), "error", err)
	return err
}

// validate checks a normalized content, and its regions against those in the settings.
func (s *Server) validate(content bundle.Content) error {
	if err := content.Validate(); err != nil {
		return err
	}
	return content.CheckRegions(slices.Collect(maps.Values(s.settings.Zones)))
}

func (s *Server) handlePublish(w http.ResponseWriter, r *http.Request) {
	result, err := s.publishFile(w, r)
	writeResponse(w, result, err)
}

// publishFile publishes the bundle file in an operator's request.
func (s *Server) publishFile(w http.ResponseWriter, r *http.Request) (catalog.Result, error) {
	if s.settings.SignOff != settings.SignOffPublication {
		return catalog.Result{}, newOperationError(catalog.CodeNotApproved, "versions need a signature here: sign_off is not %q", settings.SignOffPublication)
	}
	var request operator.PublishRequest
	if err := readRequest(w, r, &request); err != nil {
		return catalog.Result{}, err
	}
	if request.TOML == "" || request.Version == 0 {
		return catalog.Result{}, newOperationError(catalog.CodeInvalidRequest, "toml and version must be set")
	}
	content, err := parseContent(request.FileName, []byte(request.TOML))
	if err != nil {
		return catalog.Result{}, err
	}
	p := Publication{Base: request.Base, Version: request.Version, Content: content, Source: []byte(request.TOML)}
	if err := s.Publish(r.Context(), p); err != nil {
		return catalog.Result{}, err
	}
	var published catalog.Version
	err = s.readAwaitingLease(r.Context(), func(time.Duration) {
		published, _ = s.replica.Catalog().Lookup(request.Version)
	})
	return catalog.Result{Version: published.Manifest, Status: published.Status}, err
}

// readAwaitingLease is readWithLease for a replica that may have been elected just now: it retries
// until the lease is valid or leaseWaitTimeout has passed.
func (s *Server) readAwaitingLease(ctx context.Context, read func(now time.Duration)) error {
	ctx, cancel := context.WithTimeout(ctx, leaseWaitTimeout)
	defer cancel()
	for {
		err := s.readWithLease(ctx, read)
		if _, leading := s.LeaderAddress(); err == nil || !leading {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leasePollInterval):
		}
	}
}

// knownPublicationResult returns the result of a publication that needs no commit, because it was
// committed already or can't be; nil otherwise.
func knownPublicationResult(c *catalog.Catalog, p Publication, invalid error) *catalog.Result {
	if c.Published(p.Version, sha256.Sum256(p.Source)) {
		return &catalog.Result{}
	}
	if rejection := c.CheckPublish(p.Base, p.Version); rejection != nil {
		return rejection
	}
	if invalid == nil {
		return nil
	}
	return &catalog.Result{Error: invalidBundleError(invalid)}
}

func errorOrNil(opErr *catalog.OperationError) error {
	if opErr == nil {
		return nil
	}
	return opErr
}

// LatestDocument returns the document and number of the newest version, zero if there is none. It fails if a
// newer version could exist.
func (s *Server) LatestDocument(ctx context.Context) (source []byte, version uint64, err error) {
	err = s.readAwaitingLease(ctx, func(time.Duration) {
		source, version = s.replica.Catalog().Source, s.replica.Catalog().HeadVersion()
	})
	return source, version, err
}
