package deflate

import "fmt"

// compressedPrefix is the first byte of a compressed record. Uncompressed records are JSON
// documents, which never start with it.
const compressedPrefix = 0x01

// PackRecord returns a record for a log or a snapshot, compressed if the document has at least
// minRecordSize bytes.
func PackRecord(document []byte) ([]byte, error) {
	if len(document) < minRecordSize {
		return document, nil
	}
	compressed, err := Compress(document)
	if err != nil {
		return nil, fmt.Errorf("pack record: %w", err)
	}
	return append([]byte{compressedPrefix}, compressed...), nil
}

// UnpackRecord returns the document of a record from PackRecord. Uncompressed records, also those
// of earlier releases, are returned unchanged. limit bounds the expanded size in bytes.
func UnpackRecord(record []byte, limit int) ([]byte, error) {
	if len(record) == 0 || record[0] != compressedPrefix {
		return record, nil
	}
	document, err := Expand(record[1:], limit)
	if err != nil {
		return nil, fmt.Errorf("unpack record: %w", err)
	}
	return document, nil
}
