// Package gateway is the entry process where upstreams announce themselves to control.
//
// One goroutine polls the control instance that leads and builds an immutable
// world of what it learned; traffic reads the world through an atomic pointer.
// A call is served while the world is fresh enough: a key that was taken away
// may be used nowhere after the revocation period, so that an entry which has
// lost the leader stops serving calls with keys before that period ends.
package gateway
