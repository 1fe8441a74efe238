// Package gossiper decides which entry sends rumours about upstreams to which others, and when.
//
// Changes are sent at once to the entries that keep this entry's upstreams: directly to those of
// its own data centre, and through two relays to those of each other data centre. Refreshes,
// which only show that an upstream is alive, follow at a bounded rate, and digests repair what
// was lost.
package gossiper
