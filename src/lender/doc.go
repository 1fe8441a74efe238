// Package lender decides how one entry lends the partitions of limits that it owns
// to the entries of its view.
//
// A Lender is a state machine without goroutines, sockets, files or clock. The sum
// of the unexpired loans of a partition never exceeds the partition, even if
// messages are lost, delayed or repeated.
package lender
