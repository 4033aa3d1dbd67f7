// Package deflate compresses large pieces of state before they are stored or sent: entries of the
// replicated log, snapshots, and frames to subscribers. A configuration of some thousand routes is
// repetitive and shrinks to about a tenth of its size.
package deflate

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// minRecordSize is the size in bytes from which PackRecord compresses a document. Below it, compression
// costs more processor time than the saved bytes are worth.
const minRecordSize = 4 << 10

// ErrTooLarge reports data that would expand beyond the limit.
var ErrTooLarge = errors.New("expanded data exceeds the bound")

// Compress returns the data in DEFLATE format, compressed at the fastest level.
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

// Expand decompresses the result of Compress. It returns ErrTooLarge for data of more than limit
// bytes, of which it reads at most limit+1 bytes.
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
