// Package recorder keeps what became of each call, so that none runs twice and a resend gets the same answer.
//
// Each record stands at three owners among the entries. An Owner and a Proposer
// are state machines without goroutines, sockets or clock; a Recorder runs them
// over the connections between entries. docs/RECORD.md describes the protocol.
package recorder
