package bundle

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes is the maximum size of a bundle file.
const MaxFileBytes = 16 << 20

// Parse decodes a bundle file in TOML. Unknown keys and wrong types are errors, which contain the
// file name, line and key. The result is normalized but not validated.
func Parse(name string, text []byte) (Content, error) {
	if len(text) > MaxFileBytes {
		return Content{}, fmt.Errorf("%s: %d bytes, at most %d are allowed", name, len(text), MaxFileBytes)
	}
	var content Content
	if err := DecodeTOML(name, text, &content); err != nil {
		return Content{}, err
	}
	return content.Normalized(), nil
}

// DecodeTOML decodes TOML into target and rejects unknown keys. Errors contain the file name, line and
// key.
func DecodeTOML(name string, text []byte, target any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %q", name, line, formatKey(first.Key()))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return fmt.Errorf("%s:%d: key %q: %s", name, line, formatKey(decode.Key()), decode.Error())
	}
	return fmt.Errorf("%s: %w", name, err)
}

func formatKey(key toml.Key) string {
	var text string
	for i, part := range key {
		if i > 0 {
			text += "."
		}
		text += part
	}
	return text
}
