// Package enroller keeps the table of upstreams that announce themselves by heartbeats.
//
// Heartbeats arrive at any control instance, late, duplicated and out of order, and control
// instances may forward them to each other along any path. The start time of the upstream's
// incarnation and the heartbeat's sequence number order them. Control and entries use the same
// table: control receives heartbeats, and an entry follows one control instance at a time with a
// cursor, so that it receives only what has changed.
package enroller
