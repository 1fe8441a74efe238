// Package entry is the process that takes calls and brings them to upstreams.
//
// One goroutine, the coordinator, owns the configuration and the table of
// upstreams and publishes immutable snapshots; the traffic reads those.
package entry
