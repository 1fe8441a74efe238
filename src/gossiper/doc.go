// Package gossiper decides which entry tells which others of upstreams, and when.
//
// News goes at once to the entries that keep this entry's upstreams: to those
// of its own data centre, and by two relays to those of each other one. Signs
// of life follow at a bounded rate, and digests repair what was lost.
package gossiper
