// Package persister stores a voter's state, snapshot and records on disk.
//
// A record is durable once its sync has returned. Each frame on disk carries its
// length, kind and a checksum. A seal frame follows each synced batch of records.
// Everything before a seal was synced, so an invalid frame before one is damage, and
// the folder is refused. An invalid frame after the last seal is a write that a crash
// interrupted; it was not acknowledged to anyone and is truncated.
//
// The folder belongs to one instance: it holds the instance's name and a random
// identity, and it is locked by the process that uses it.
package persister
