// Package enroller keeps the table of upstreams that announce themselves by heartbeats.
//
// Heartbeats arrive at any control instance, late, twice and out of order, and
// may be spread among control instances by any path; an incarnation's start and
// its sequence number put them in order. The same table serves control, which
// hears heartbeats, and entries, which follow one control instance at a time by
// a cursor and so get only what has changed.
package enroller
