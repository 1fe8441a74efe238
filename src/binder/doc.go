// Package binder remembers at which software version streams began, so that callers who resume one at
// any entry get the rest from that version.
//
// Output of two versions does not fit together, and neither upstreams nor callers say which version
// began a stream. Each entry keeps the streams of its own callers and reports them to the leader while
// several versions serve; the leader keeps those of all entries. A stream is remembered for as long as
// its caller tries.
package binder
