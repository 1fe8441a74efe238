// Package appraiser estimates how much longer than usual work takes at each upstream, from what
// upstreams state in their answers, and combines what all entries learn.
//
// It is designed for this load: upstreams share machines with others. Some machines are slower
// than others for as long as they run, and on each of them all work takes several times as long
// for some tenths of a second at a time. Of a fleet of hundreds of entries, each gets an answer
// of an upstream only every ten seconds or more, so no entry can tell a slow machine from a slow
// moment by itself, and a moment is over before an entry could act on it. All entries together
// get several answers a second, and a machine's own speed is in all of them.
package appraiser
