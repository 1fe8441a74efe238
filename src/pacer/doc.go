// Package pacer holds all entries together to what upstreams say that they take.
//
// An upstream in need states a limit in its answers, which reach one entry each. Entries tell
// the leader; it adds up what they know and hands out permits, one for each call, to those that
// have work (Divider). An entry sends an upstream with a limit a call only with a permit (Gate).
// Permits and limits travel with the polls, so that a call costs no message. Both are free of
// I/O; the divider is a state machine without a clock.
package pacer
