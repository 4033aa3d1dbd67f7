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
	// RememberedOperations is how many operations back a resend is recognised.
	RememberedOperations = 4096
	// keptContents is how many of the newest versions keep their content at most, and
	// keptItems how many routes, services and secrets their contents may have together before
	// older ones lose it; minKeptContents always keep it. A route takes some 300 bytes: 64
	// contents of 2,300 routes were 40 MB of each replica, and half of the time of a restart.
	keptContents    = 64
	minKeptContents = 8
	keptItems       = 24_000
	// keptVersions is how many of the newest versions are listed at all.
	keptVersions = 4096
)

// Status is how far a version has come.
type Status string

const (
	// StatusCreated versions wait for approval.
	StatusCreated Status = "created"
	// StatusApproved versions may be rolled.
	StatusApproved Status = "approved"
	// StatusActive is the version in force.
	StatusActive Status = "active"
	// StatusSuperseded versions were in force, or were passed over.
	StatusSuperseded Status = "superseded"
)

// Version is one version as the catalog keeps it.
type Version struct {
	Manifest bundle.Manifest `json:"manifest"`
	Status   Status          `json:"status"`
	Approval bundle.Approval `json:"approval"`
	// SourceDigest identifies the document that the version was published from; zero if
	// it was not published.
	SourceDigest bundle.Digest `json:"source_digest,omitzero"`
	// Content is nil once the version is too old.
	Content *bundle.Content `json:"content,omitempty"`
	// CreatedMillis, ApprovedMillis and RolledMillis are Unix milliseconds.
	CreatedMillis  int64 `json:"created_millis"`
	ApprovedMillis int64 `json:"approved_millis,omitempty"`
	RolledMillis   int64 `json:"rolled_millis,omitempty"`
}

// operation is a remembered answer.
type operation struct {
	Request string `json:"request"`
	Result  Result `json:"result"`
}

// Catalog is the state machine. It is not safe for concurrent use.
type Catalog struct {
	Head         uint64
	Versions     map[uint64]*Version
	Operations   map[string]operation
	Order        []string
	Distribution *distribution.State
	// Source is the document that the head was published from, nil if it was not.
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

// State returns the distributed state.
func (c *Catalog) State() *distribution.State { return c.Distribution }

// HeadVersion returns the newest version, zero if there is none.
func (c *Catalog) HeadVersion() uint64 { return c.Head }

// Lookup returns a version.
func (c *Catalog) Lookup(version uint64) (Version, bool) {
	found, ok := c.Versions[version]
	if !ok {
		return Version{}, false
	}
	return *found, true
}

// Apply executes one command.
func (c *Catalog) Apply(command Command) Result {
	if command.OperationID == "" {
		return c.execute(command)
	}
	request := requestDigest(command)
	if earlier, found := c.Operations[command.OperationID]; found {
		if earlier.Request != request {
			return c.refuse(CodeOperationReused, "operation ID %s was used for another request", command.OperationID)
		}
		return earlier.Result
	}
	result := c.execute(command)
	c.rememberOperation(command.OperationID, operation{Request: request, Result: result})
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
		return c.refuse(CodeInvalidRequest, "empty command")
	}
}

func (c *Catalog) create(request Create, atMillis int64) Result {
	if refusal := c.checkHead(request.ExpectedHead); refusal != nil {
		return *refusal
	}
	content, refusal := c.contentOf(request)
	if refusal != nil {
		return *refusal
	}
	version := c.add(c.Head+1, request.Digest, content, atMillis)
	c.Source = nil
	return c.answer(version)
}

// checkHead refuses a version that does not build on the head.
func (c *Catalog) checkHead(expected uint64) *Result {
	if expected == c.Head {
		return nil
	}
	result := c.refuse(CodeConflict, "expected head %d, but version %d was created meanwhile", expected, c.Head)
	if head, found := c.Versions[c.Head]; found {
		winner := head.Manifest
		result.Error.Winner = &winner
	}
	return &result
}

// add makes a checked content the head, under a number above the present one.
func (c *Catalog) add(number uint64, digest bundle.Digest, content bundle.Content, atMillis int64) *Version {
	version := &Version{
		Manifest: bundle.Manifest{Version: number, Parent: c.Head, Digest: digest},
		Status:   StatusCreated, Content: &content, CreatedMillis: atMillis,
	}
	c.Versions[number] = version
	c.Head = number
	c.forgetOldVersions()
	return version
}

// NewCreate returns the request for a version on top of a head: as a delta, if the head's
// content is known here. Two bundles in a row are nearly equal, and the log goes to
// every replica and disk.
func (c *Catalog) NewCreate(expectedHead uint64, content bundle.Content, digest bundle.Digest) *Create {
	request := &Create{ExpectedHead: expectedHead, Digest: digest, level: levelOf(content)}
	base := bundle.Content{}
	if parent, found := c.Versions[expectedHead]; found && parent.Content != nil {
		request.Base = expectedHead
		base = *parent.Content
	}
	request.Delta = bundle.Diff(base, content)
	return request
}

// contentOf rebuilds the content of a request whose expected head is the head, and
// checks it whole.
func (c *Catalog) contentOf(request Create) (bundle.Content, *Result) {
	base := bundle.Content{}
	if request.Base != 0 {
		parent, found := c.Versions[request.Base]
		if !found || parent.Content == nil {
			refusal := c.refuse(CodeUnknownVersion, "the content of version %d, on which the new one builds, is not kept", request.Base)
			return base, &refusal
		}
		base = *parent.Content
	}
	content := base.Apply(request.Delta)
	if err := content.Validate(); err != nil {
		refusal := c.refuseInvalid(err)
		return base, &refusal
	}
	if _, err := c.hasher.TreeFor(content, request.Digest); err != nil {
		refusal := c.refuse(CodeInvalidBundle, "the content does not match its digest %s", request.Digest.Short())
		return base, &refusal
	}
	return content, nil
}

func (c *Catalog) approve(request Approve, atMillis int64) Result {
	version, refusal := c.usable(request.Version)
	if refusal != nil {
		return *refusal
	}
	if version.Status == StatusCreated {
		version.Status = StatusApproved
		version.Approval = request.Approval
		version.ApprovedMillis = atMillis
		c.stage(version)
	}
	return c.answer(version)
}

// stage lets holders fetch an approved version ahead, unless a later one is staged.
func (c *Catalog) stage(version *Version) {
	staged := c.Distribution.Staged
	if staged != nil && staged.Manifest.Version > version.Manifest.Version {
		return
	}
	c.Distribution = c.Distribution.Stage(version.signed())
}

func (c *Catalog) roll(request Roll, atMillis int64) Result {
	version, refusal := c.usable(request.Version)
	if refusal != nil {
		return *refusal
	}
	switch version.Status {
	case StatusActive:
		return c.answer(version)
	case StatusCreated:
		return c.refuse(CodeNotApproved, "version %d is not approved", request.Version)
	}
	c.activate(version, atMillis)
	return c.answer(version)
}

// activate puts a version into force and supersedes all earlier ones.
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

// usable returns a version that is not behind the active one.
func (c *Catalog) usable(number uint64) (*Version, *Result) {
	version, found := c.Versions[number]
	if !found {
		result := c.refuse(CodeUnknownVersion, "version %d does not exist (head is %d)", number, c.Head)
		return nil, &result
	}
	if version.Status == StatusSuperseded || version.Content == nil {
		result := c.refuse(CodeSuperseded, "version %d is behind the one in force; to go back, create a new version with the old content", number)
		return nil, &result
	}
	return version, nil
}

func (c *Catalog) answer(version *Version) Result {
	return Result{Version: version.Manifest, Status: version.Status, Revision: c.Distribution.Revision}
}

func (c *Catalog) refuse(code Code, format string, values ...any) Result {
	return Result{
		Revision: c.Distribution.Revision,
		Error:    &OperationError{Code: code, Message: fmt.Sprintf(format, values...)},
	}
}

func (c *Catalog) refuseInvalid(err error) Result {
	result := c.refuse(CodeInvalidBundle, "%v", err)
	var invalid *bundle.ValidationError
	if errors.As(err, &invalid) {
		result.Error.Problems = invalid.Problems
	}
	return result
}

func (c *Catalog) rememberOperation(id string, done operation) {
	c.Operations[id] = done
	c.Order = append(c.Order, id)
	if len(c.Order) > RememberedOperations {
		delete(c.Operations, c.Order[0])
		c.Order = c.Order[1:]
	}
}

// forgetOldVersions drops contents, and later whole records, of superseded versions.
func (c *Catalog) forgetOldVersions() {
	numbers := slices.Sorted(maps.Keys(c.Versions))
	items := 0
	for newer := range numbers {
		number := numbers[len(numbers)-1-newer]
		old := c.Versions[number]
		if old.Content != nil {
			items += old.Content.Items()
		}
		if old.Status != StatusSuperseded {
			continue
		}
		if newer >= keptContents || (newer >= minKeptContents && items > keptItems) {
			old.Content = nil
		}
		if newer >= keptVersions {
			delete(c.Versions, number)
		}
	}
}

func (v *Version) signed() *bundle.Signed {
	return &bundle.Signed{Manifest: v.Manifest, Approval: v.Approval, Content: *v.Content}
}

// requestDigest identifies what a command asks for, without when. A bundle's digest
// stands for its content: a resend may be a delta to another base.
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
