// Package reserver decides how large a reserve a service holds against reclaims, by how often they come.
//
// It records the reclaims of whole data centres (History) and estimates from them how often reclaims come and for
// how long the platform then has no reclaimable upstreams to order. The reserve is the smallest for which the
// expected cost of a shortage is at most the price of one more upstream: so many data centres may be lost at once,
// and while no reclaimable upstreams can be ordered, so many more are held on demand. The types are state machines
// without a clock; all times are true time, so that a new leader can continue with the history.
package reserver
