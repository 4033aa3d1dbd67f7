package catalog

import (
	"crypto/sha256"

	"bramblelift/pkg/bundle"
)

// NewPublish returns the request that publishes a content, made from a source document, as version
// number. The document is sent as a patch to that of the head.
func (c *Catalog) NewPublish(expectedHead, number uint64, content bundle.Content, digest bundle.Digest, source []byte) *Publish {
	return &Publish{
		Create:       *c.NewCreate(expectedHead, content, digest),
		Version:      number,
		Approval:     bundle.PublicationApproval(),
		Source:       bundle.DiffSource(c.Source, source),
		SourceDigest: sha256.Sum256(source),
	}
}

// Published reports whether a version was published from the document with this digest. It
// recognises a resent publication for as long as the record of the version is kept.
func (c *Catalog) Published(number uint64, sourceDigest bundle.Digest) bool {
	version, found := c.Versions[number]
	return found && version.SourceDigest == sourceDigest && sourceDigest != bundle.Digest{}
}

// CheckPublish returns the reason why a version cannot be published on the head, nil if it can. A
// request with several faults gets the first: a conflict takes precedence.
func (c *Catalog) CheckPublish(expectedHead, number uint64) *Result {
	if rejection := c.checkHead(expectedHead); rejection != nil {
		return rejection
	}
	if number <= c.Head {
		rejection := c.reject(CodeInvalidBundle, "version %d is not above the head, %d", number, c.Head)
		return &rejection
	}
	return nil
}

// publish creates, approves and activates a version in one step. A resend changes nothing.
func (c *Catalog) publish(request Publish, atMillis int64) Result {
	if c.Published(request.Version, request.SourceDigest) {
		return c.resultFor(c.Versions[request.Version])
	}
	if rejection := c.CheckPublish(request.ExpectedHead, request.Version); rejection != nil {
		return *rejection
	}
	content, rejection := c.resolveContent(request.Create)
	if rejection != nil {
		return *rejection
	}
	source, err := request.Source.Apply(c.Source)
	if err != nil || sha256.Sum256(source) != request.SourceDigest {
		return c.reject(CodeConflict, "the source document does not match its digest")
	}
	version := c.addVersion(request.Version, request.Digest, content, atMillis)
	version.SourceDigest = request.SourceDigest
	version.Approval = request.Approval
	version.ApprovedMillis = atMillis
	c.Source = source
	c.activate(version, atMillis)
	return c.resultFor(version)
}
