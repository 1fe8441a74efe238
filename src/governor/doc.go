// Package governor implements the control process, to which upstreams announce themselves.
//
// One goroutine, the coordinator, owns the voter of the replicated log, the table of
// upstreams and the duties. The log holds the state that must survive: configurations,
// roll-outs, quarantines, and the usage of each window before it is reported. Upstreams,
// demand and the time of day are soft state, which a new leader rebuilds from one heartbeat
// of every upstream and one poll of every entry.
package governor
