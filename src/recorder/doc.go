// Package recorder stores the outcome of each call, so that no call runs twice and a
// resend gets the same answer.
//
// Each record is replicated to three owners among the entries. Owner and Proposer
// are state machines without goroutines, sockets or a clock; a Recorder runs them
// over the connections between entries. docs/RECORD.md describes the protocol.
package recorder
