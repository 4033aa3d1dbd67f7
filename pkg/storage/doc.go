// Package storage keeps a replica's durable state: its identity and one
// write-ahead log file.
//
// # Log file
//
// A log file is a sequence of records: a header of length, kind, payload checksum
// and header checksum, then the payload. Its first record is a checkpoint (a
// snapshot); hard states and entries follow. A checkpoint writes a new file under
// a temporary name, syncs it, renames it over the old file and syncs the folder,
// so that there is always exactly one complete log file.
//
// # Recovery
//
// An invalid record with no valid record after it is a torn write: it was never
// synced or acknowledged, and Open truncates the file there. An invalid record
// before a valid one means that acknowledged state is corrupt: Open returns
// ErrCorrupt and leaves the file unchanged.
//
// # Failures
//
// If Save or Checkpoint returns ErrWriteRejected, it acknowledged nothing and the caller
// can retry; after a crash, Open may recover a part of it. After any other error, such as that of a failed sync, it is unknown what is
// durable. The process must exit; every later call returns ErrDurabilityUnknown.
package storage
