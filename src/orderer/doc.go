// Package orderer decides which orders the control leader gives to upstreams.
//
// It compares the state that the configuration wants with the state that upstreams announce,
// and orders one upstream after another to load what is missing. The leader's term is the
// fencing number of its orders.
package orderer
