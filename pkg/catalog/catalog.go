package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
)

const (
	// MaxStoredResults is the number of most recent operations whose results are kept, so that
	// a resent command is not executed twice.
	MaxStoredResults = 4096
	// The contents of the minKeptContents newest versions are kept. Those of older superseded versions are kept
	// up to maxKeptContents versions and while all kept contents have at most maxKeptItems routes, services,
	// secrets and tenants. This bounds a replica's memory and restart time.
	maxKeptContents = 64
	minKeptContents = 8
	maxKeptItems    = 24_000
	// maxKeptVersions is the number of newest versions whose records are kept.
	maxKeptVersions = 4096
)

// Status is the lifecycle state of a version.
type Status string

const (
	// StatusCreated: the version waits for approval.
	StatusCreated Status = "created"
	// StatusApproved: the version may be rolled.
	StatusApproved Status = "approved"
	// StatusActive: nodes apply the version.
	StatusActive Status = "active"
	// StatusSuperseded: a later version was rolled; this one can never become active again.
	StatusSuperseded Status = "superseded"
)

// Version is the record of one bundle version.
type Version struct {
	Manifest bundle.Manifest `json:"manifest"`
	Status   Status          `json:"status"`
	Approval bundle.Approval `json:"approval"`
	// SourceDigest is the digest of the source document that the version was published from,
	// zero for a version made by Create.
	SourceDigest bundle.Digest `json:"source_digest,omitzero"`
	// Content is nil after the content of a superseded version was dropped.
	Content *bundle.Content `json:"content,omitempty"`
	// CreatedMillis, ApprovedMillis and RolledMillis are Unix times in milliseconds, taken from the
	// clock of the leader that proposed the command.
	CreatedMillis  int64 `json:"created_millis"`
	ApprovedMillis int64 `json:"approved_millis,omitempty"`
	RolledMillis   int64 `json:"rolled_millis,omitempty"`
}

// operation stores the result of an executed command for resends. Request is the digest of the
// command.
type operation struct {
	Request string `json:"request"`
	Result  Result `json:"result"`
}

// Catalog is the state machine. It is not safe for concurrent use.
type Catalog struct {
	// Head is the number of the newest version, zero if there is none.
	Head     uint64
	Versions map[uint64]*Version
	// Operations holds the stored results by operation ID; Order lists the IDs, oldest first.
	Operations   map[string]operation
	Order        []string
	Distribution *distribution.State
	// Source is the source document of the head, nil if the head was made by Create.
	Source []byte
	hasher *bundle.Hasher
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		Versions:     map[uint64]*Version{},
		Operations:   map[string]operation{},
		Distribution: &distribution.State{},
		hasher:       bundle.NewHasher(),
	}
}

// State returns the state that is distributed to relays and nodes.
func (c *Catalog) State() *distribution.State { return c.Distribution }

// HeadVersion returns the number of the newest version, zero if there is none.
func (c *Catalog) HeadVersion() uint64 { return c.Head }

// Lookup returns the record of a version and whether the catalog still has one.
func (c *Catalog) Lookup(version uint64) (Version, bool) {
	record, ok := c.Versions[version]
	if !ok {
		return Version{}, false
	}
	return *record, true
}

// Apply executes one command of the log and returns its result. A command whose operation ID was
// used before returns the stored result, or an error if the two commands differ.
func (c *Catalog) Apply(command Command) Result {
	if command.OperationID == "" {
		return c.execute(command)
	}
	request := requestDigest(command)
	if previous, found := c.Operations[command.OperationID]; found {
		if previous.Request != request {
			return c.reject(CodeOperationReused, "operation ID %s was used for another request", command.OperationID)
		}
		return previous.Result
	}
	result := c.execute(command)
	c.recordOperation(command.OperationID, operation{Request: request, Result: result})
	return result
}

func (c *Catalog) execute(command Command) Result {
	switch {
	case command.Create != nil:
		return c.create(*command.Create, command.AtMillis)
	case command.Approve != nil:
		return c.approve(*command.Approve, command.AtMillis)
	case command.Roll != nil:
		return c.roll(*command.Roll, command.AtMillis)
	case command.Publish != nil:
		return c.publish(*command.Publish, command.AtMillis)
	case command.Endpoints != nil:
		c.Distribution = c.Distribution.ChangeEndpoints(command.Endpoints.Changes)
		return Result{Revision: c.Distribution.Revision}
	case command.Suspects != nil:
		c.Distribution = c.Distribution.ChangeSuspects(*command.Suspects)
		return Result{Revision: c.Distribution.Revision}
	case command.Orders != nil:
		c.Distribution = c.Distribution.ChangeOrders(*command.Orders)
		return Result{Revision: c.Distribution.Revision}
	default:
		return c.reject(CodeInvalidRequest, "empty command")
	}
}

func (c *Catalog) create(request Create, atMillis int64) Result {
	if rejection := c.checkHead(request.ExpectedHead); rejection != nil {
		return *rejection
	}
	content, rejection := c.resolveContent(request)
	if rejection != nil {
		return *rejection
	}
	version := c.addVersion(c.Head+1, request.Digest, content, atMillis)
	c.Source = nil
	return c.resultFor(version)
}

// checkHead returns a conflict if the expected head is not the head.
func (c *Catalog) checkHead(expected uint64) *Result {
	if expected == c.Head {
		return nil
	}
	result := c.reject(CodeConflict, "expected head %d, but version %d was created meanwhile", expected, c.Head)
	if head, found := c.Versions[c.Head]; found {
		winner := head.Manifest
		result.Error.Winner = &winner
	}
	return &result
}

// addVersion stores a validated content as a new version and makes it the head. The number must be above
// the current head.
func (c *Catalog) addVersion(number uint64, digest bundle.Digest, content bundle.Content, atMillis int64) *Version {
	version := &Version{
		Manifest: bundle.Manifest{Version: number, Parent: c.Head, Digest: digest},
		Status:   StatusCreated, Content: &content, CreatedMillis: atMillis,
	}
	c.Versions[number] = version
	c.Head = number
	c.pruneVersions()
	return version
}

// NewCreate returns the request that creates a version on top of the expected head. The content is
// sent as a delta to that of the head, if the catalog has it, because consecutive bundles differ
// little and every replica stores the log.
func (c *Catalog) NewCreate(expectedHead uint64, content bundle.Content, digest bundle.Digest) *Create {
	request := &Create{ExpectedHead: expectedHead, Digest: digest, level: requiredLevel(content)}
	base := bundle.Content{}
	if parent, found := c.Versions[expectedHead]; found && parent.Content != nil {
		request.Base = expectedHead
		base = *parent.Content
	}
	request.Delta = bundle.Diff(base, content)
	return request
}

// resolveContent builds the content of a request from its base and delta, validates it and checks its
// digest.
func (c *Catalog) resolveContent(request Create) (bundle.Content, *Result) {
	base := bundle.Content{}
	if request.Base != 0 {
		parent, found := c.Versions[request.Base]
		if !found || parent.Content == nil {
			rejection := c.reject(CodeUnknownVersion, "the content of version %d, on which the new one builds, is not kept", request.Base)
			return base, &rejection
		}
		base = *parent.Content
	}
	content := base.Apply(request.Delta)
	if err := content.Validate(); err != nil {
		rejection := c.rejectInvalid(err)
		return base, &rejection
	}
	if _, err := c.hasher.TreeFor(content, request.Digest); err != nil {
		rejection := c.reject(CodeInvalidBundle, "the content does not match its digest %s", request.Digest.Short())
		return base, &rejection
	}
	return content, nil
}

func (c *Catalog) approve(request Approve, atMillis int64) Result {
	version, rejection := c.usableVersion(request.Version)
	if rejection != nil {
		return *rejection
	}
	if version.Status == StatusCreated {
		version.Status = StatusApproved
		version.Approval = request.Approval
		version.ApprovedMillis = atMillis
		c.stage(version)
	}
	return c.resultFor(version)
}

// stage distributes an approved version ahead of its activation, unless a later one is staged.
func (c *Catalog) stage(version *Version) {
	staged := c.Distribution.Staged
	if staged != nil && staged.Manifest.Version > version.Manifest.Version {
		return
	}
	c.Distribution = c.Distribution.Stage(version.signed())
}

func (c *Catalog) roll(request Roll, atMillis int64) Result {
	version, rejection := c.usableVersion(request.Version)
	if rejection != nil {
		return *rejection
	}
	switch version.Status {
	case StatusActive:
		return c.resultFor(version)
	case StatusCreated:
		return c.reject(CodeNotApproved, "version %d is not approved", request.Version)
	}
	c.activate(version, atMillis)
	return c.resultFor(version)
}

// activate makes a version the active one and marks all earlier versions as superseded.
func (c *Catalog) activate(version *Version, atMillis int64) {
	c.Distribution = c.Distribution.Activate(version.signed())
	version.RolledMillis = atMillis
	for _, other := range c.Versions {
		if other.Manifest.Version < version.Manifest.Version {
			other.Status = StatusSuperseded
		}
	}
	version.Status = StatusActive
}

// usableVersion returns the version if it exists, is not superseded and has its content; otherwise it returns
// the rejection.
func (c *Catalog) usableVersion(number uint64) (*Version, *Result) {
	version, found := c.Versions[number]
	if !found {
		result := c.reject(CodeUnknownVersion, "version %d does not exist (head is %d)", number, c.Head)
		return nil, &result
	}
	if version.Status == StatusSuperseded || version.Content == nil {
		result := c.reject(CodeSuperseded, "version %d is behind the one in force; to go back, create a new version with the old content", number)
		return nil, &result
	}
	return version, nil
}

func (c *Catalog) resultFor(version *Version) Result {
	return Result{Version: version.Manifest, Status: version.Status, Revision: c.Distribution.Revision}
}

func (c *Catalog) reject(code Code, format string, values ...any) Result {
	return Result{
		Revision: c.Distribution.Revision,
		Error:    &OperationError{Code: code, Message: fmt.Sprintf(format, values...)},
	}
}

func (c *Catalog) rejectInvalid(err error) Result {
	result := c.reject(CodeInvalidBundle, "%v", err)
	var invalid *bundle.ValidationError
	if errors.As(err, &invalid) {
		result.Error.Problems = invalid.Problems
	}
	return result
}

func (c *Catalog) recordOperation(id string, op operation) {
	c.Operations[id] = op
	c.Order = append(c.Order, id)
	if len(c.Order) > MaxStoredResults {
		delete(c.Operations, c.Order[0])
		c.Order = c.Order[1:]
	}
}

// pruneVersions drops the contents of superseded versions, and the records of the oldest.
func (c *Catalog) pruneVersions() {
	numbers := slices.Sorted(maps.Keys(c.Versions))
	items := 0
	for newerCount := range numbers {
		number := numbers[len(numbers)-1-newerCount]
		version := c.Versions[number]
		if version.Content != nil {
			items += version.Content.Items()
		}
		if version.Status != StatusSuperseded {
			continue
		}
		if newerCount >= maxKeptContents || (newerCount >= minKeptContents && items > maxKeptItems) {
			version.Content = nil
		}
		if newerCount >= maxKeptVersions {
			delete(c.Versions, number)
		}
	}
}

func (v *Version) signed() *bundle.Signed {
	return &bundle.Signed{Manifest: v.Manifest, Approval: v.Approval, Content: *v.Content}
}

// requestDigest identifies the request of a command, to compare a resend with the original. It leaves
// out the time, and of a created bundle it uses the digest instead of the delta, because a resend may
// carry a delta to another base.
func requestDigest(command Command) string {
	command.AtMillis = 0
	if command.Create != nil {
		command.Create = &Create{ExpectedHead: command.Create.ExpectedHead, Digest: command.Create.Digest}
	}
	data, err := json.Marshal(command)
	if err != nil {
		return err.Error()
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
