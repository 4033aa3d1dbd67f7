// Package storage keeps a replica's durable state: its identity and one
// write-ahead log file.
//
// # Log file
//
// A log file is a sequence of records: a header of length, kind, payload checksum
// and header checksum, then the payload. Its first record is a checkpoint (a
// snapshot); hard states and entries follow. A checkpoint writes a whole new file
// beside the old one, syncs it, renames it over the old one and syncs the folder,
// so there is always exactly one whole file.
//
// # Recovery
//
// A record that ends the file incomplete, with nothing readable after it, is a torn
// write: it was never synced, so nobody was told of it, and it is cut off. A record
// that does not check out while a later one does is corruption of something that was
// acknowledged: Open returns ErrCorrupt and changes nothing.
//
// # Failures
//
// An error of Save or Checkpoint, a failed sync above all, leaves it unknown what is
// durable. The caller must end the process; Storage refuses every later call.
package storage
