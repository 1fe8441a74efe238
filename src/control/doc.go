// Package control is the control process, which runs a voter of the replicated log on
// an instance with a disk.
//
// One goroutine, the coordinator, owns all state. The others queue events for it and
// do the network I/O.
package control
