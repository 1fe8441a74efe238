// Package scaler decides how many upstreams of a service to order, where, and at which price.
//
// The load it answers: calls swell and ebb by a third within some tens of
// seconds and burst to half as much again; reclaimable upstreams cost a fifth but
// a whole data centre of them is taken back at some seconds of notice, several
// times a day, and then for a while none are to be had anywhere. An upstream
// takes seconds to start, so that nothing can be ordered in time for a burst.
//
// The measure is how many calls wait for their first byte, on average: by
// Little's law that is the work of reading prompts that is asked for, in
// upstreams, whatever their speed. The plan holds enough upstreams that are not
// taken back to carry most of that work alone, and enough reclaimable ones that
// the loss of any one data centre of them leaves the whole objective.
package scaler
