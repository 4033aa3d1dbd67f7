package catalog

import (
	"crypto/sha256"

	"bramblelift/pkg/bundle"
)

// NewPublish returns the request that publishes a content with its source document.
func (c *Catalog) NewPublish(expectedHead, number uint64, content bundle.Content, digest bundle.Digest, source []byte) *Publish {
	return &Publish{
		Create:       *c.NewCreate(expectedHead, content, digest),
		Version:      number,
		Approval:     bundle.PublicationApproval(),
		Source:       bundle.DiffSource(c.Source, source),
		SourceDigest: sha256.Sum256(source),
	}
}

// Published reports whether a version was published from just this document. A resend of
// a request that was carried out is recognised by it for as long as the version is listed.
func (c *Catalog) Published(number uint64, sourceDigest bundle.Digest) bool {
	version, found := c.Versions[number]
	return found && version.SourceDigest == sourceDigest && sourceDigest != bundle.Digest{}
}

// CheckPublish refuses what cannot be published on the present head; the order of the
// checks decides what a request with several faults is told.
func (c *Catalog) CheckPublish(expectedHead, number uint64) *Result {
	if refusal := c.checkHead(expectedHead); refusal != nil {
		return refusal
	}
	if number <= c.Head {
		refusal := c.refuse(CodeInvalidBundle, "version %d is not above the head, %d", number, c.Head)
		return &refusal
	}
	return nil
}

// publish is create, approve and roll in one step.
func (c *Catalog) publish(request Publish, atMillis int64) Result {
	if c.Published(request.Version, request.SourceDigest) {
		return c.answer(c.Versions[request.Version])
	}
	if refusal := c.CheckPublish(request.ExpectedHead, request.Version); refusal != nil {
		return *refusal
	}
	content, refusal := c.contentOf(request.Create)
	if refusal != nil {
		return *refusal
	}
	source, err := request.Source.Apply(c.Source)
	if err != nil || sha256.Sum256(source) != request.SourceDigest {
		return c.refuse(CodeConflict, "the source document does not match its digest")
	}
	version := c.add(request.Version, request.Digest, content, atMillis)
	version.SourceDigest = request.SourceDigest
	version.Approval = request.Approval
	version.ApprovedMillis = atMillis
	c.Source = source
	c.activate(version, atMillis)
	return c.answer(version)
}
