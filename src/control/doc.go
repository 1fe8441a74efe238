// Package control is the process that carries the replicated log, on an instance with a disk.
//
// One goroutine, the coordinator, owns all state; the others bring events to
// its box and carry out what leaves the process.
package control
