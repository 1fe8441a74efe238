// Package orderer decides which orders the control leader gives to upstreams.
//
// It compares what the configuration wants with what upstreams announce, and
// tells one upstream after another what to load. The leader's term is the
// fencing number of its orders.
package orderer
