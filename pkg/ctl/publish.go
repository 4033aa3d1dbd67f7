package ctl

import (
	"net/http"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
)

// publishCommand needs no operation ID, since its version and content identify a publication.
type publishCommand struct {
	File    string  `long:"file" required:"yes" value-name:"FILE" description:"bundle file in TOML"`
	Base    *uint64 `long:"base" description:"version that must be the newest one; default: the newest now"`
	Version uint64  `long:"number" description:"number of the version, above the newest; default: the base and one"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error { return nil }

func (c *publishCommand) run(s *session) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	request := operator.PublishRequest{TOML: text, FileName: c.File, Version: c.Version}
	if c.Base == nil {
		list, err := s.versions()
		if err != nil {
			return err
		}
		c.Base = &list.Head
	}
	request.Base = *c.Base
	if request.Version == 0 {
		request.Version = request.Base + 1
	}
	var result catalog.Result
	if err := s.call(http.MethodPost, operator.PathPublications, request, &result); err != nil {
		return err
	}
	return s.printResult(result)
}
