// Package borrower decides which shares of limits one entry may use and which
// entries it asks for more.
//
// A Borrower is a state machine without goroutines, sockets, files or clock.
package borrower
