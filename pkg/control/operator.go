package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/replica"

	"github.com/kataras/iris/v12"
)

const (
	// proposalTimeout bounds how long an operator's call waits for its commit.
	proposalTimeout = 4 * time.Second
	maxRequestBytes = bundle.MaxFileBytes + 1<<20
	sourceTimeout   = 3 * time.Second
)

// routeOperators adds the operators' calls to the administration service.
func (s *Server) routeOperators() {
	app := s.admin.App
	app.Post(operator.PathVersions, s.handleCreate)
	app.Post(operator.PathVersions+"/{version:uint64}/approve", s.handleApprove)
	app.Post(operator.PathVersions+"/{version:uint64}/roll", s.handleRoll)
	app.Post(operator.PathPublications, s.handlePublish)
	app.Get(operator.PathVersions, s.handleList)
	app.Get(operator.PathStatus, s.handleStatus)
	app.Get(operator.PathNodes, s.handleNodes)
	app.Get(operator.PathDiff, s.handleDiff)
}

func refuse(code catalog.Code, format string, values ...any) *catalog.OperationError {
	return &catalog.OperationError{Code: code, Message: fmt.Sprintf(format, values...)}
}

// refuseInvalid refuses a content with every problem that its validation found.
func refuseInvalid(err error) *catalog.OperationError {
	refused := refuse(catalog.CodeInvalidBundle, "%v", err)
	var invalid *bundle.ValidationError
	if errors.As(err, &invalid) {
		refused.Problems = invalid.Problems
	}
	return refused
}

var statusOfCode = map[catalog.Code]int{
	catalog.CodeConflict:        http.StatusConflict,
	catalog.CodeOperationReused: http.StatusConflict,
	catalog.CodeUnknownVersion:  http.StatusNotFound,
	catalog.CodeNotApproved:     http.StatusConflict,
	catalog.CodeSuperseded:      http.StatusConflict,
	catalog.CodeInvalidBundle:   http.StatusUnprocessableEntity,
	catalog.CodeInvalidApproval: http.StatusUnprocessableEntity,
	catalog.CodeInvalidRequest:  http.StatusBadRequest,
	catalog.CodeSource:          http.StatusBadGateway,
	catalog.CodeUnavailable:     http.StatusServiceUnavailable,
	catalog.CodeUnknownOutcome:  http.StatusGatewayTimeout,
}

// answer writes a result, or the refusal that err is or becomes.
func answer(ctx iris.Context, value any, err error) {
	if err == nil {
		_ = ctx.JSON(value)
		return
	}
	var refused *catalog.OperationError
	if !errors.As(err, &refused) {
		refused = refuse(catalog.CodeUnavailable, "%v", err)
	}
	status, known := statusOfCode[refused.Code]
	if !known {
		status = http.StatusInternalServerError
	}
	if refused.Code == catalog.CodeUnavailable {
		ctx.Header("Retry-After", "1")
	}
	ctx.StatusCode(status)
	_ = ctx.JSON(refused)
}

func readRequest(ctx iris.Context, target any) error {
	ctx.SetMaxRequestBodySize(maxRequestBytes)
	if err := ctx.ReadJSON(target); err != nil {
		return refuse(catalog.CodeInvalidRequest, "cannot read request: %v", err)
	}
	return nil
}

// propose hands a command to the driver and waits for its outcome.
func (s *Server) propose(ctx context.Context, command catalog.Command) (catalog.Result, error) {
	return s.proposeBuilt(ctx, func() catalog.Command { return command })
}

// proposeBuilt is propose for a command that is built in the driver's goroutine, from
// the replica's state.
func (s *Server) proposeBuilt(ctx context.Context, build func() catalog.Command) (catalog.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	done := make(chan replica.Completion, 1)
	var proposeErr error
	err := s.inspect(ctx, func(time.Duration) {
		command := build()
		command.AtMillis = time.Now().UnixMilli()
		s.nextProposal++
		proposeErr = s.replica.Propose(s.nextProposal, command)
		if proposeErr == nil {
			s.pending[s.nextProposal] = done
		}
	})
	if err != nil {
		return catalog.Result{}, refuse(catalog.CodeUnknownOutcome, "the replica did not take the command in time: %v", err)
	}
	if proposeErr != nil {
		return catalog.Result{}, s.notLeader()
	}
	select {
	case completion := <-done:
		if completion.Err != nil {
			return catalog.Result{}, refuse(catalog.CodeUnknownOutcome, "%v", completion.Err)
		}
		if completion.Result.Error != nil {
			return completion.Result, completion.Result.Error
		}
		return completion.Result, nil
	case <-ctx.Done():
		return catalog.Result{}, refuse(catalog.CodeUnknownOutcome, "not committed in time")
	}
}

func (s *Server) notLeader() error {
	return refuse(catalog.CodeUnavailable, "replica %s is not the leader", s.settings.Name)
}

// readLeased runs a read in the driver if this replica leads and its lease holds:
// then nothing newer can have been committed anywhere.
func (s *Server) readLeased(ctx context.Context, read func(now time.Duration)) error {
	leased := false
	err := s.inspect(ctx, func(now time.Duration) {
		node := s.replica.Node()
		if node.LeaseValid(now) && s.replica.Applied() >= node.Commit() {
			leased = true
			read(now)
		}
	})
	if err != nil {
		return refuse(catalog.CodeUnavailable, "replica did not answer: %v", err)
	}
	if !leased {
		return s.notLeader()
	}
	return nil
}

func (s *Server) handleCreate(ctx iris.Context) {
	result, err := s.create(ctx)
	answer(ctx, result, err)
}

func (s *Server) create(ctx iris.Context) (catalog.Result, error) {
	var request operator.CreateRequest
	if err := readRequest(ctx, &request); err != nil {
		return catalog.Result{}, err
	}
	if request.OperationID == "" || request.ExpectedHead == nil {
		return catalog.Result{}, refuse(catalog.CodeInvalidRequest, "operation_id and expected_head must be set")
	}
	content, err := s.contentOf(ctx.Request().Context(), request)
	if err != nil {
		return catalog.Result{}, err
	}
	if request.HandBack != nil {
		content.HandBack = *request.HandBack
	}
	content = content.Normalized()
	if err := content.Validate(); err != nil {
		return catalog.Result{}, refuseInvalid(err)
	}
	tree, err := bundle.NewTree(content)
	if err != nil {
		return catalog.Result{}, fmt.Errorf("digest of bundle: %w", err)
	}
	return s.proposeBuilt(ctx.Request().Context(), func() catalog.Command {
		return catalog.Command{
			OperationID: request.OperationID,
			Create:      s.replica.Catalog().NewCreate(*request.ExpectedHead, content, tree.Root()),
		}
	})
}

// contentOf gets the content that a request names.
func (s *Server) contentOf(ctx context.Context, request operator.CreateRequest) (bundle.Content, error) {
	switch {
	case request.TOML != "":
		return parseContent(request.FileName, []byte(request.TOML))
	case request.Source != "":
		return s.fetchSource(ctx, request.Source)
	case request.FromVersion != 0:
		return s.contentOfVersion(ctx, request.FromVersion)
	default:
		return bundle.Content{}, refuse(catalog.CodeInvalidRequest, "the request names no content")
	}
}

func parseContent(name string, text []byte) (bundle.Content, error) {
	content, err := bundle.Parse(name, text)
	if err != nil {
		return bundle.Content{}, refuse(catalog.CodeInvalidBundle, "%v", err)
	}
	return content, nil
}

// fetchSource reads a bundle from the configuration source; only the leader does.
func (s *Server) fetchSource(ctx context.Context, name string) (bundle.Content, error) {
	if s.settings.SourceURL == "" {
		return bundle.Content{}, refuse(catalog.CodeSource, "no configuration source is set")
	}
	if err := s.readLeased(ctx, func(time.Duration) {}); err != nil {
		return bundle.Content{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	address := s.settings.SourceURL + "/" + url.PathEscape(name)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return bundle.Content{}, refuse(catalog.CodeSource, "%v", err)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return bundle.Content{}, refuse(catalog.CodeSource, "%v", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, bundle.MaxFileBytes+1))
	if err != nil || response.StatusCode != http.StatusOK {
		return bundle.Content{}, refuse(catalog.CodeSource, "%s: status %s: %v", address, response.Status, err)
	}
	return parseContent(address, text)
}

func (s *Server) contentOfVersion(ctx context.Context, number uint64) (bundle.Content, error) {
	var version catalog.Version
	found := false
	err := s.readLeased(ctx, func(time.Duration) { version, found = s.replica.Catalog().Lookup(number) })
	if err != nil {
		return bundle.Content{}, err
	}
	if !found || version.Content == nil {
		return bundle.Content{}, refuse(catalog.CodeUnknownVersion, "version %d does not exist or its content is no longer kept", number)
	}
	return *version.Content, nil
}

func (s *Server) handleApprove(ctx iris.Context) {
	result, err := s.approve(ctx)
	answer(ctx, result, err)
}

func (s *Server) approve(ctx iris.Context) (catalog.Result, error) {
	var request operator.ApproveRequest
	if err := readRequest(ctx, &request); err != nil {
		return catalog.Result{}, err
	}
	number := ctx.Params().GetUint64Default("version", 0)
	var version catalog.Version
	found := false
	requestContext := ctx.Request().Context()
	err := s.readLeased(requestContext, func(time.Duration) { version, found = s.replica.Catalog().Lookup(number) })
	if err != nil {
		return catalog.Result{}, err
	}
	if !found {
		return catalog.Result{}, refuse(catalog.CodeUnknownVersion, "version %d does not exist", number)
	}
	if err := s.verifier.Verify(version.Manifest, request.Approval); err != nil {
		return catalog.Result{}, refuse(catalog.CodeInvalidApproval, "%v", err)
	}
	return s.propose(requestContext, catalog.Command{
		OperationID: request.OperationID,
		Approve:     &catalog.Approve{Version: number, Approval: request.Approval},
	})
}

func (s *Server) handleRoll(ctx iris.Context) {
	var request operator.RollRequest
	if err := readRequest(ctx, &request); err != nil {
		answer(ctx, nil, err)
		return
	}
	number := ctx.Params().GetUint64Default("version", 0)
	result, err := s.propose(ctx.Request().Context(), catalog.Command{
		OperationID: request.OperationID, Roll: &catalog.Roll{Version: number},
	})
	if err == nil {
		s.logger.Log("event", "version_accepted", "version", number, "revision", result.Revision)
	}
	answer(ctx, result, err)
}

func (s *Server) handleList(ctx iris.Context) {
	var list operator.VersionList
	err := s.readLeased(ctx.Request().Context(), func(time.Duration) { list = s.versionList() })
	answer(ctx, list, err)
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

func (s *Server) handleStatus(ctx iris.Context) {
	var status operator.Status
	err := s.readLeased(ctx.Request().Context(), func(now time.Duration) { status = s.status(now) })
	answer(ctx, status, err)
}

func (s *Server) handleNodes(ctx iris.Context) {
	answer(ctx, s.nodes.list(time.Now()), nil)
}

func (s *Server) handleDiff(ctx iris.Context) {
	from, fromErr := strconv.ParseUint(ctx.URLParam("from"), 10, 64)
	to, toErr := strconv.ParseUint(ctx.URLParam("to"), 10, 64)
	if err := errors.Join(fromErr, toErr); err != nil {
		answer(ctx, nil, refuse(catalog.CodeInvalidRequest, "from and to must be versions: %v", err))
		return
	}
	old, err := s.contentOrEmpty(ctx.Request().Context(), from)
	if err != nil {
		answer(ctx, nil, err)
		return
	}
	next, err := s.contentOrEmpty(ctx.Request().Context(), to)
	changes := operator.DiffContents(old, next)
	if changes == nil {
		changes = []operator.Change{}
	}
	answer(ctx, changes, err)
}

// contentOrEmpty treats version zero as the empty bundle.
func (s *Server) contentOrEmpty(ctx context.Context, version uint64) (bundle.Content, error) {
	if version == 0 {
		return bundle.Content{}, nil
	}
	return s.contentOfVersion(ctx, version)
}
