// Package scaler decides how many upstreams of a service to order, where, and at which price.
//
// The load it answers: calls swell and ebb by a third within some tens of
// seconds and burst to half as much again; reclaimable upstreams cost a fifth but
// a whole data centre of them is taken back at some seconds of notice, several
// times a day, and then for a while none are to be had anywhere. An upstream
// takes seconds to start, so that nothing can be ordered in time for a burst.
//
// The measure is the work of reading prompts that is asked for: the tokens that
// upstreams are likely to have to read, times how long one takes where nothing
// queues. It does not depend on how many upstreams there are. How many calls wait
// does: once upstreams are too few it grows without bound, and a plan by it orders
// several times what is needed. The plan holds so many reclaimable upstreams in each
// data centre that the loss of any two leaves the whole objective; what is then
// missing is ordered at the full price from the notice on, which a good part of the
// time to start goes before.
package scaler
