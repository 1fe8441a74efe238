// Package pacer keeps all entries together within the call rates that upstreams state.
//
// An overloaded upstream states a limit in its responses, each of which reaches one entry.
// Entries report these limits to the leader, which merges the reports and grants permits, one
// for each call, to the entries that have work (Allocator). An entry sends a call to a limited
// upstream only with a permit (Gate). Permits and limits travel with the polls, so that a call
// costs no message. Both types are free of I/O; the Allocator is a state machine without a clock.
package pacer
