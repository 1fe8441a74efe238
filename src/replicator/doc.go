// Package replicator decides for one voter of the replicated log.
//
// A Node is a state machine without goroutines, sockets, files or clock: each
// Step takes the time and one event and returns the actions to carry out, in
// order. The caller must finish an action before it starts the next, so that a
// record is on disk before any message that acknowledges it leaves.
package replicator
