package deflate

import "fmt"

// compressedMark begins a record that is compressed. Records are JSON documents, none of
// which begins with it.
const compressedMark = 0x01

// PackRecord returns a record for a log or a snapshot, compressed if it is large.
func PackRecord(document []byte) ([]byte, error) {
	if len(document) < MinSize {
		return document, nil
	}
	compressed, err := Compress(document)
	if err != nil {
		return nil, fmt.Errorf("pack record: %w", err)
	}
	return append([]byte{compressedMark}, compressed...), nil
}

// UnpackRecord undoes PackRecord, and leaves records of earlier programs as they are.
func UnpackRecord(record []byte, limit int) ([]byte, error) {
	if len(record) == 0 || record[0] != compressedMark {
		return record, nil
	}
	document, err := Expand(record[1:], limit)
	if err != nil {
		return nil, fmt.Errorf("unpack record: %w", err)
	}
	return document, nil
}
