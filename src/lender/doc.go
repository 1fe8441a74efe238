// Package lender decides how one entry lends the parts of limits that it owns to the entries of its view.
//
// A Lender is a state machine without goroutines, sockets, files or clock. The
// sum of what it has lent of a part and counts as not returned never passes
// the part, whatever messages are lost, late or repeated.
package lender
