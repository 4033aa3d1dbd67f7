// Package deflate makes large pieces of state small before they are kept or sent: entries of
// the replicated log, snapshots, and frames to subscribers. A configuration of some thousand
// routes repeats its words, and takes a tenth of its size then.
package deflate

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// MinSize is from how many bytes on data is worth compressing: below it the processor time
// costs more than the bytes.
const MinSize = 4 << 10

// ErrTooLarge: the data would grow beyond the bound.
var ErrTooLarge = errors.New("expanded data exceeds the bound")

// Compress returns the data compressed for speed.
func Compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return out.Bytes(), nil
}

// Expand undoes Compress. Data of more than limit bytes is refused with ErrTooLarge before
// more than that is held.
func Expand(compressed []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("expand: %w", err)
	}
	if len(data) > limit {
		return nil, fmt.Errorf("expand to more than %d bytes: %w", limit, ErrTooLarge)
	}
	return data, nil
}
