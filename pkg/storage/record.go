package storage

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"bramblelift/pkg/raft"
)

// recordKind is the type of a record's payload.
type recordKind uint8

const (
	recordCheckpoint recordKind = iota + 1
	recordHardState
	recordEntry
)

// A record header consists of length (4 bytes), kind (1), payload checksum (4) and header
// checksum (4), big-endian.
const (
	headerSize       = 13
	maxRecordPayload = 256 << 20
)

// ErrCorrupt means that durable, acknowledged state is damaged.
var ErrCorrupt = errors.New("storage: log is corrupt")

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	kind    recordKind
	payload []byte
}

func appendRecord(buffer []byte, kind recordKind, payload []byte) []byte {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[0:], uint32(len(payload)))
	header[4] = byte(kind)
	binary.BigEndian.PutUint32(header[5:], crc32.Checksum(payload, checksumTable))
	binary.BigEndian.PutUint32(header[9:], crc32.Checksum(header[:9], checksumTable))
	buffer = append(buffer, header[:]...)
	return append(buffer, payload...)
}

// readRecord decodes the record at the start of data. It returns the record's size with the
// header, and false if there is no valid record.
func readRecord(data []byte) (record, int, bool) {
	if len(data) < headerSize {
		return record{}, 0, false
	}
	if crc32.Checksum(data[:9], checksumTable) != binary.BigEndian.Uint32(data[9:]) {
		return record{}, 0, false
	}
	length := int(binary.BigEndian.Uint32(data))
	if length > maxRecordPayload || headerSize+length > len(data) {
		return record{}, 0, false
	}
	payload := data[headerSize : headerSize+length]
	if crc32.Checksum(payload, checksumTable) != binary.BigEndian.Uint32(data[5:]) {
		return record{}, 0, false
	}
	return record{kind: recordKind(data[4]), payload: payload}, headerSize + length, true
}

// scanRecords decodes a log file. It returns the records and their size in total; data after
// that is a torn write. If a valid record follows invalid data, the error is ErrCorrupt.
func scanRecords(data []byte) (records []record, validSize int, err error) {
	for validSize < len(data) {
		rec, size, valid := readRecord(data[validSize:])
		if !valid {
			break
		}
		records = append(records, rec)
		validSize += size
	}
	for offset := validSize + 1; offset+headerSize <= len(data); offset++ {
		if _, _, valid := readRecord(data[offset:]); valid {
			return nil, 0, fmt.Errorf("%w: record at byte %d is invalid but one at byte %d is valid", ErrCorrupt, validSize, offset)
		}
	}
	return records, validSize, nil
}

func encodeEntry(entry raft.Entry) []byte {
	payload := make([]byte, 0, len(entry.Data)+2*binary.MaxVarintLen64+1)
	payload = binary.AppendUvarint(payload, entry.Term)
	payload = binary.AppendUvarint(payload, entry.Index)
	payload = append(payload, byte(entry.Kind))
	return append(payload, entry.Data...)
}

func decodeEntry(payload []byte) (raft.Entry, error) {
	term, termSize := binary.Uvarint(payload)
	if termSize <= 0 {
		return raft.Entry{}, fmt.Errorf("%w: invalid term of an entry", ErrCorrupt)
	}
	index, indexSize := binary.Uvarint(payload[termSize:])
	if indexSize <= 0 || len(payload) <= termSize+indexSize {
		return raft.Entry{}, fmt.Errorf("%w: invalid index or missing kind of an entry", ErrCorrupt)
	}
	rest := payload[termSize+indexSize:]
	entry := raft.Entry{Term: term, Index: index, Kind: raft.EntryKind(rest[0])}
	if len(rest) > 1 {
		entry.Data = append([]byte(nil), rest[1:]...)
	}
	return entry, nil
}

func encodeHardState(hard raft.HardState) []byte {
	payload := binary.AppendUvarint(nil, hard.Term)
	payload = binary.AppendUvarint(payload, uint64(hard.Vote))
	return binary.AppendUvarint(payload, hard.Commit)
}

func decodeHardState(payload []byte) (raft.HardState, error) {
	var values [3]uint64
	for i := range values {
		value, size := binary.Uvarint(payload)
		if size <= 0 {
			return raft.HardState{}, fmt.Errorf("%w: invalid hard state", ErrCorrupt)
		}
		values[i] = value
		payload = payload[size:]
	}
	return raft.HardState{Term: values[0], Vote: raft.ReplicaID(values[1]), Commit: values[2]}, nil
}

func encodeSnapshot(s raft.Snapshot) ([]byte, error) {
	payload, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return payload, nil
}

func decodeSnapshot(payload []byte) (raft.Snapshot, error) {
	var s raft.Snapshot
	if err := json.Unmarshal(payload, &s); err != nil {
		return raft.Snapshot{}, fmt.Errorf("%w: decode snapshot: %w", ErrCorrupt, err)
	}
	return s, nil
}
