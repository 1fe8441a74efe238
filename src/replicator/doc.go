// Package replicator implements the consensus protocol of the replicated log,
// in the manner of Raft, for one voter.
//
// A Node is a state machine without goroutines, sockets, files or clock: each
// Step takes the time and one event and returns the actions to carry out, in
// order. The caller must finish an action before it starts the next, so that a
// record is on disk before any message that acknowledges it is sent.
//
// A voter is an instance together with the random identity of its data folder.
// An instance that lost its disk returns as a different voter. That one neither
// votes nor counts towards a majority until a committed membership has added it
// as a learner, it has caught up, and a second membership has made it a voter.
package replicator
