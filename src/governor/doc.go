// Package governor is the control process where upstreams announce themselves to control.
//
// One goroutine, the coordinator, owns the voter of the replicated log, the table
// of upstreams and the duties. The log carries what must survive: configurations,
// and the usage of each window before it is reported. Upstreams, demand and the
// time of day are soft state, which a new leader has again after one heartbeat
// and one poll of everyone.
package governor
