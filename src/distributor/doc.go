// Package distributor decides how a configuration reaches every entry and when an entry stops without it.
//
// The relays of a data centre report to control's leader and the other entries
// to a relay, so that neither the leader's nor an entry's cost grows with the
// fleet. A Lease says until when an entry may serve, and a Proof whether an
// entry that lacks a version must have stopped.
package distributor
