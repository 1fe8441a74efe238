// Package keeper keeps a voter's state, snapshot and records on disk.
//
// A record counts as kept once its sync has returned. Each frame on disk
// carries its length, kind and a checksum. A seal frame follows each synced
// batch of records: all before a seal was synced, so that a bad frame before
// one is damage and is refused; a bad frame behind the last one is a write that
// a crash cut short, which nobody was told of, and is cut off.
//
// The folder belongs to one instance: it holds the instance's name and a random
// identity, and it is locked by the process that uses it.
package keeper
