// Package entry is the process that receives calls and forwards them to upstreams.
//
// One goroutine, the coordinator, owns the configuration and the table of upstreams and publishes
// immutable snapshots, which the request goroutines read.
package entry
