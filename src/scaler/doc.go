// Package scaler decides how many upstreams of a service to order, in which data centres, and
// whether reclaimable or on-demand.
//
// It is designed for this load: the call rate rises and falls by a third within some tens of
// seconds and has bursts of half as much again. Reclaimable upstreams cost a fifth of the
// on-demand price, but a whole data centre of them is reclaimed with some seconds of notice,
// several times a day, and for a while afterwards none are available anywhere. An upstream
// takes seconds to start, so nothing can be ordered in time for a burst.
//
// The load is measured as the prefill work demanded: the tokens that upstreams are likely to
// have to read, times the time for one token without queueing. It does not depend on the number
// of upstreams. The number of waiting calls does: with too few upstreams it grows without
// bound, and a plan based on it would order several times what is needed. The plan holds enough
// reclaimable upstreams in each data centre that the loss of any two still leaves the whole
// objective, or the loss of as many as a Reserver decides. What is then missing is ordered on
// demand as soon as the notice arrives, which covers a good part of the start time.
package scaler
