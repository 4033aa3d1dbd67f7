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

// Bounds of the deployment's interface.
const (
	interfaceHeaderTimeout = 5 * time.Second
	interfaceIdleTimeout   = time.Minute
	// leaseWait is how long a new leader is given until its lease holds, and leasePoll the
	// pause between two looks; callers go elsewhere after a second.
	leaseWait = 700 * time.Millisecond
	leasePoll = 20 * time.Millisecond
)

// Publication is a version that an operator makes, signs off and rolls in one act.
type Publication struct {
	// Base is the version that it builds on, zero for none, Version its own number.
	Base    uint64
	Version uint64
	Content bundle.Content
	// Source is the document that it came from; Newest gives it back as it is.
	Source []byte
}

// Publish makes a publication the version in force. Taken again it changes nothing. The
// error is a *catalog.OperationError.
func (s *Server) Publish(ctx context.Context, p Publication) error {
	content := p.Content.Normalized()
	invalid := s.validate(content)
	var settled *catalog.Result
	var level catalog.Level
	err := s.readOnceLeased(ctx, func(time.Duration) {
		settled = settledPublication(s.replica.Catalog(), p, invalid)
		level = s.contentLevel()
	})
	if err != nil {
		return err
	}
	if settled != nil {
		return asError(settled.Error)
	}
	content = catalog.WithoutHints(content, level)
	tree, err := bundle.NewTree(content)
	if err != nil {
		return fmt.Errorf("digest of bundle: %w", err)
	}
	result, err := s.proposeBuilt(ctx, func() catalog.Command {
		return catalog.Command{Publish: s.replica.Catalog().NewPublish(p.Base, p.Version, content, tree.Root(), p.Source)}
	})
	s.logger.Log("event", "publication", "version", p.Version, "base", p.Base, "revision", result.Revision, "level", int(level), "error", err)
	return err
}

// validate checks a normalized content, and its regions against those of the settings' zones.
func (s *Server) validate(content bundle.Content) error {
	if err := content.Validate(); err != nil {
		return err
	}
	return content.CheckRegions(slices.Collect(maps.Values(s.settings.Zones)))
}

func (s *Server) handlePublish(w http.ResponseWriter, r *http.Request) {
	result, err := s.publishFile(w, r)
	answer(w, result, err)
}

// publishFile publishes a bundle file that an operator sends.
func (s *Server) publishFile(w http.ResponseWriter, r *http.Request) (catalog.Result, error) {
	if s.settings.SignOff != settings.SignOffPublication {
		return catalog.Result{}, refuse(catalog.CodeNotApproved, "versions need a signature here: sign_off is not %q", settings.SignOffPublication)
	}
	var request operator.PublishRequest
	if err := readRequest(w, r, &request); err != nil {
		return catalog.Result{}, err
	}
	if request.TOML == "" || request.Version == 0 {
		return catalog.Result{}, refuse(catalog.CodeInvalidRequest, "toml and version must be set")
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
	err = s.readOnceLeased(r.Context(), func(time.Duration) {
		published, _ = s.replica.Catalog().Lookup(request.Version)
	})
	return catalog.Result{Version: published.Manifest, Status: published.Status}, err
}

// readOnceLeased is readLeased for a replica that may just have become the leader: it gives
// it some time to be sure.
func (s *Server) readOnceLeased(ctx context.Context, read func(now time.Duration)) error {
	ctx, cancel := context.WithTimeout(ctx, leaseWait)
	defer cancel()
	for {
		err := s.readLeased(ctx, read)
		if _, leading := s.LeaderInterface(); err == nil || !leading {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leasePoll):
		}
	}
}

// settledPublication answers what needs no agreement: a publication that was taken before,
// or that can no longer be.
func settledPublication(c *catalog.Catalog, p Publication, invalid error) *catalog.Result {
	if c.Published(p.Version, sha256.Sum256(p.Source)) {
		return &catalog.Result{}
	}
	if refusal := c.CheckPublish(p.Base, p.Version); refusal != nil {
		return refusal
	}
	if invalid == nil {
		return nil
	}
	return &catalog.Result{Error: refuseInvalid(invalid)}
}

func asError(refused *catalog.OperationError) error {
	if refused == nil {
		return nil
	}
	return refused
}

// Newest returns the document of the newest version and its number, zero if there is none
// yet. It fails where a newer one could exist.
func (s *Server) Newest(ctx context.Context) (source []byte, version uint64, err error) {
	err = s.readOnceLeased(ctx, func(time.Duration) {
		source, version = s.replica.Catalog().Source, s.replica.Catalog().HeadVersion()
	})
	return source, version, err
}

func newInterfaceServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: interfaceHeaderTimeout, IdleTimeout: interfaceIdleTimeout}
}
