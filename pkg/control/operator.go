package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"bramblelift/pkg/admin"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/replica"
)

const (
	// proposalTimeout bounds how long an operator's request waits for its commit.
	proposalTimeout = 4 * time.Second
	maxRequestBytes = bundle.MaxFileBytes + 1<<20
	sourceTimeout   = 3 * time.Second
)

// registerOperatorRoutes registers the operators' endpoints on the administration server.
func (s *Server) registerOperatorRoutes() {
	mux := s.admin.Mux
	mux.HandleFunc("POST "+operator.PathVersions, s.handleCreate)
	mux.HandleFunc("POST "+operator.PathVersions+"/{version}/approve", s.handleApprove)
	mux.HandleFunc("POST "+operator.PathVersions+"/{version}/roll", s.handleRoll)
	mux.HandleFunc("POST "+operator.PathPublications, s.handlePublish)
	mux.HandleFunc("GET "+operator.PathVersions, s.handleVersions)
	mux.HandleFunc("GET "+operator.PathStatus, s.handleStatus)
	mux.HandleFunc("GET "+operator.PathNodes, s.handleNodes)
	mux.HandleFunc("GET "+operator.PathDiff, s.handleDiff)
	mux.HandleFunc("GET "+operator.PathSuspects, s.handleSuspects)
	mux.HandleFunc("POST "+operator.PathSuspects+"/{fingerprint}/lift", s.handleLift)
	mux.HandleFunc("GET "+operator.PathZones, s.handleZones)
	mux.HandleFunc("GET "+operator.PathTenants, s.handleTenants)
	s.registerRolloutRoutes(mux)
	mux.HandleFunc("POST "+operator.PathEvacuations+"{zone}", s.handleEvacuation(true))
	mux.HandleFunc("DELETE "+operator.PathEvacuations+"{zone}", s.handleEvacuation(false))
}

// newOperationError returns the error that writeResponse sends to an operator with the code's HTTP status.
func newOperationError(code catalog.Code, format string, values ...any) *catalog.OperationError {
	return &catalog.OperationError{Code: code, Message: fmt.Sprintf(format, values...)}
}

// invalidBundleError returns an error with all problems that validation found in a content.
func invalidBundleError(err error) *catalog.OperationError {
	opErr := newOperationError(catalog.CodeInvalidBundle, "%v", err)
	var invalid *bundle.ValidationError
	if errors.As(err, &invalid) {
		opErr.Problems = invalid.Problems
	}
	return opErr
}

var httpStatusByCode = map[catalog.Code]int{
	catalog.CodeConflict:          http.StatusConflict,
	catalog.CodeOperationReused:   http.StatusConflict,
	catalog.CodeUnknownVersion:    http.StatusNotFound,
	catalog.CodeUnknownSuspect:    http.StatusNotFound,
	catalog.CodeUnknownZone:       http.StatusNotFound,
	catalog.CodeUnknownService:    http.StatusNotFound,
	catalog.CodeNothingToDo:       http.StatusUnprocessableEntity,
	catalog.CodeRolloutConflict:   http.StatusConflict,
	catalog.CodeNoRollout:         http.StatusConflict,
	catalog.CodeNotApproved:       http.StatusConflict,
	catalog.CodeSuperseded:        http.StatusConflict,
	catalog.CodeInvalidBundle:     http.StatusUnprocessableEntity,
	catalog.CodeInvalidApproval:   http.StatusUnprocessableEntity,
	catalog.CodeInvalidRequest:    http.StatusBadRequest,
	catalog.CodeSourceUnavailable: http.StatusBadGateway,
	catalog.CodeUnavailable:       http.StatusServiceUnavailable,
	catalog.CodeUnknownOutcome:    http.StatusGatewayTimeout,
}

// writeResponse writes value as JSON, or err as an operation error with its HTTP status.
func writeResponse(w http.ResponseWriter, value any, err error) {
	if err == nil {
		admin.WriteJSON(w, http.StatusOK, value)
		return
	}
	var opErr *catalog.OperationError
	if !errors.As(err, &opErr) {
		opErr = newOperationError(catalog.CodeUnavailable, "%v", err)
	}
	status, known := httpStatusByCode[opErr.Code]
	if !known {
		status = http.StatusInternalServerError
	}
	if opErr.Code == catalog.CodeUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	admin.WriteJSON(w, status, opErr)
}

// readRequest decodes the JSON body of an operator's request.
func readRequest(w http.ResponseWriter, r *http.Request, target any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		return newOperationError(catalog.CodeInvalidRequest, "cannot read request: %v", err)
	}
	return nil
}

// versionFromPath parses the version number in a request's path.
func versionFromPath(r *http.Request) (uint64, error) {
	text := r.PathValue("version")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newOperationError(catalog.CodeUnknownVersion, "%q is not the number of a version", text)
	}
	return number, nil
}

// propose submits a command to the event loop and waits until it is committed or fails.
func (s *Server) propose(ctx context.Context, command catalog.Command) (catalog.Result, error) {
	return s.proposeFunc(ctx, func() catalog.Command { return command })
}

// proposeFunc is propose for a command that is built on the event loop from the replica's state.
func (s *Server) proposeFunc(ctx context.Context, build func() catalog.Command) (catalog.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	done := make(chan replica.Completion, 1)
	var proposeErr error
	err := s.runOnLoop(ctx, func(time.Duration) {
		command := build()
		if proposeErr = s.checkLevel(command); proposeErr != nil {
			return
		}
		command.AtMillis = time.Now().UnixMilli()
		s.nextProposal++
		proposeErr = s.replica.Propose(s.nextProposal, command)
		if proposeErr == nil {
			s.pending[s.nextProposal] = done
		}
	})
	if err != nil {
		return catalog.Result{}, newOperationError(catalog.CodeUnknownOutcome, "the replica did not take the command in time: %v", err)
	}
	var opErr *catalog.OperationError
	if errors.As(proposeErr, &opErr) {
		return catalog.Result{}, opErr
	}
	if proposeErr != nil {
		return catalog.Result{}, s.notLeaderError()
	}
	select {
	case completion := <-done:
		if completion.Err != nil {
			return catalog.Result{}, newOperationError(catalog.CodeUnknownOutcome, "%v", completion.Err)
		}
		if completion.Result.Error != nil {
			return completion.Result, completion.Result.Error
		}
		return completion.Result, nil
	case <-ctx.Done():
		return catalog.Result{}, newOperationError(catalog.CodeUnknownOutcome, "not committed in time")
	}
}

func (s *Server) notLeaderError() error {
	return newOperationError(catalog.CodeUnavailable, "replica %s is not the leader", s.settings.Name)
}

// readWithLease runs read on the event loop if this replica leads with a valid lease and has applied all
// committed entries, which makes the read linearizable.
func (s *Server) readWithLease(ctx context.Context, read func(now time.Duration)) error {
	leased := false
	err := s.runOnLoop(ctx, func(now time.Duration) {
		node := s.replica.Node()
		if node.LeaseValid(now) && s.replica.Applied() >= node.Commit() {
			leased = true
			read(now)
		}
	})
	if err != nil {
		return newOperationError(catalog.CodeUnavailable, "replica did not answer: %v", err)
	}
	if !leased {
		return s.notLeaderError()
	}
	return nil
}

func (s *Server) handleCreate(w http.ResponseWriter, r *http.Request) {
	result, err := s.create(w, r)
	writeResponse(w, result, err)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) (catalog.Result, error) {
	var request operator.CreateRequest
	if err := readRequest(w, r, &request); err != nil {
		return catalog.Result{}, err
	}
	if request.OperationID == "" || request.ExpectedHead == nil {
		return catalog.Result{}, newOperationError(catalog.CodeInvalidRequest, "operation_id and expected_head must be set")
	}
	content, err := s.requestedContent(r.Context(), request)
	if err != nil {
		return catalog.Result{}, err
	}
	if request.HandBack != nil {
		content.HandBack = *request.HandBack
	}
	content = content.Normalized()
	if err := s.validate(content); err != nil {
		return catalog.Result{}, invalidBundleError(err)
	}
	tree, err := bundle.NewTree(content)
	if err != nil {
		return catalog.Result{}, fmt.Errorf("compute bundle digest: %w", err)
	}
	return s.proposeFunc(r.Context(), func() catalog.Command {
		return catalog.Command{
			OperationID: request.OperationID,
			Create:      s.replica.Catalog().NewCreate(*request.ExpectedHead, content, tree.Root()),
		}
	})
}

// requestedContent loads the content from the source that a request specifies.
func (s *Server) requestedContent(ctx context.Context, request operator.CreateRequest) (bundle.Content, error) {
	switch {
	case request.TOML != "":
		return parseContent(request.FileName, []byte(request.TOML))
	case request.Source != "":
		return s.fetchSource(ctx, request.Source)
	case request.FromVersion != 0:
		return s.versionContent(ctx, request.FromVersion)
	default:
		return bundle.Content{}, newOperationError(catalog.CodeInvalidRequest, "the request names no content")
	}
}

func parseContent(name string, text []byte) (bundle.Content, error) {
	content, err := bundle.Parse(name, text)
	if err != nil {
		return bundle.Content{}, newOperationError(catalog.CodeInvalidBundle, "%v", err)
	}
	return content, nil
}

// fetchSource downloads a bundle from the configuration source. Only the leader does so.
func (s *Server) fetchSource(ctx context.Context, name string) (bundle.Content, error) {
	if s.settings.SourceURL == "" {
		return bundle.Content{}, newOperationError(catalog.CodeSourceUnavailable, "no configuration source is set")
	}
	if err := s.readWithLease(ctx, func(time.Duration) {}); err != nil {
		return bundle.Content{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	address := s.settings.SourceURL + "/" + url.PathEscape(name)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return bundle.Content{}, newOperationError(catalog.CodeSourceUnavailable, "%v", err)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return bundle.Content{}, newOperationError(catalog.CodeSourceUnavailable, "%v", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, bundle.MaxFileBytes+1))
	if err != nil || response.StatusCode != http.StatusOK {
		return bundle.Content{}, newOperationError(catalog.CodeSourceUnavailable, "%s: status %s: %v", address, response.Status, err)
	}
	return parseContent(address, text)
}

func (s *Server) versionContent(ctx context.Context, number uint64) (bundle.Content, error) {
	var version catalog.Version
	found := false
	err := s.readWithLease(ctx, func(time.Duration) { version, found = s.replica.Catalog().Lookup(number) })
	if err != nil {
		return bundle.Content{}, err
	}
	if !found || version.Content == nil {
		return bundle.Content{}, newOperationError(catalog.CodeUnknownVersion, "version %d does not exist or its content is no longer kept", number)
	}
	return *version.Content, nil
}

func (s *Server) handleApprove(w http.ResponseWriter, r *http.Request) {
	result, err := s.approve(w, r)
	writeResponse(w, result, err)
}

func (s *Server) approve(w http.ResponseWriter, r *http.Request) (catalog.Result, error) {
	var request operator.ApproveRequest
	if err := readRequest(w, r, &request); err != nil {
		return catalog.Result{}, err
	}
	number, err := versionFromPath(r)
	if err != nil {
		return catalog.Result{}, err
	}
	var version catalog.Version
	found := false
	err = s.readWithLease(r.Context(), func(time.Duration) { version, found = s.replica.Catalog().Lookup(number) })
	if err != nil {
		return catalog.Result{}, err
	}
	if !found {
		return catalog.Result{}, newOperationError(catalog.CodeUnknownVersion, "version %d does not exist", number)
	}
	if err := s.verifier.Verify(version.Manifest, request.Approval); err != nil {
		return catalog.Result{}, newOperationError(catalog.CodeInvalidApproval, "%v", err)
	}
	return s.propose(r.Context(), catalog.Command{
		OperationID: request.OperationID,
		Approve:     &catalog.Approve{Version: number, Approval: request.Approval},
	})
}

func (s *Server) handleRoll(w http.ResponseWriter, r *http.Request) {
	var request operator.RollRequest
	if err := readRequest(w, r, &request); err != nil {
		writeResponse(w, nil, err)
		return
	}
	number, err := versionFromPath(r)
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	result, err := s.propose(r.Context(), catalog.Command{
		OperationID: request.OperationID, Roll: &catalog.Roll{Version: number},
	})
	if err == nil {
		s.logger.Log("event", "version_accepted", "version", number, "revision", result.Revision)
	}
	writeResponse(w, result, err)
}

func (s *Server) handleVersions(w http.ResponseWriter, r *http.Request) {
	var list operator.VersionList
	err := s.readWithLease(r.Context(), func(time.Duration) { list = s.versionList() })
	writeResponse(w, list, err)
}

func (s *Server) versionList() operator.VersionList {
	c := s.replica.Catalog()
	list := operator.VersionList{Head: c.HeadVersion(), Active: c.State().Position().Active}
	for _, version := range c.Versions {
		summary := operator.VersionSummary{
			Manifest: version.Manifest, Status: version.Status, KeyID: version.Approval.KeyID,
			CreatedMillis: version.CreatedMillis, ApprovedMillis: version.ApprovedMillis, RolledMillis: version.RolledMillis,
		}
		summary.HandBack = version.Content != nil && version.Content.HandBack
		list.Versions = append(list.Versions, summary)
	}
	slices.SortFunc(list.Versions, func(a, b operator.VersionSummary) int {
		return int(b.Manifest.Version) - int(a.Manifest.Version)
	})
	return list
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	var status operator.Status
	err := s.readWithLease(r.Context(), func(now time.Duration) { status = s.status(now) })
	writeResponse(w, status, err)
}

func (s *Server) handleNodes(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, s.nodes.list(time.Now()), nil)
}

func (s *Server) handleDiff(w http.ResponseWriter, r *http.Request) {
	from, fromErr := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	to, toErr := strconv.ParseUint(r.URL.Query().Get("to"), 10, 64)
	if err := errors.Join(fromErr, toErr); err != nil {
		writeResponse(w, nil, newOperationError(catalog.CodeInvalidRequest, "from and to must be versions: %v", err))
		return
	}
	old, err := s.versionContentOrEmpty(r.Context(), from)
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	next, err := s.versionContentOrEmpty(r.Context(), to)
	changes := operator.DiffContents(old, next)
	if changes == nil {
		changes = []operator.Change{}
	}
	writeResponse(w, changes, err)
}

// versionContentOrEmpty returns a version's content, and the empty content for version zero.
func (s *Server) versionContentOrEmpty(ctx context.Context, version uint64) (bundle.Content, error) {
	if version == 0 {
		return bundle.Content{}, nil
	}
	return s.versionContent(ctx, version)
}
