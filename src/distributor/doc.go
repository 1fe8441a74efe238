// Package distributor decides how a configuration reaches every entry and when an entry must stop
// serving without it.
//
// In each data centre some entries are relays. They report to control's leader, and the other
// entries report to a relay, so that neither the leader's cost nor an entry's cost grows with the
// fleet. A Lease determines until when an entry may serve, and a Proof whether an entry that
// lacks a version must have stopped.
package distributor
