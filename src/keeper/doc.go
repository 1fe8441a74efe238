// Package keeper keeps a voter's state and records on disk.
//
// A record counts as kept once its sync has returned. Each frame on disk
// carries its length and a checksum.
package keeper
