// Package replicator decides for one voter of the replicated log.
//
// A Node is a state machine without goroutines, sockets, files or clock: each
// Step takes the time and one event and returns the actions to carry out, in
// order. The caller must finish an action before it starts the next, so that a
// record is on disk before any message that acknowledges it leaves.
//
// A voter is an instance together with the random identity of its data folder.
// An instance that lost its disk comes back as another voter, which neither
// votes nor counts until a committed membership has let it in as a learner, it
// has caught up, and a second membership has made it a voter.
package replicator
