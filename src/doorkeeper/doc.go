// Package doorkeeper bounds how many connections a server holds.
//
// The load it answers: thousands of upstreams keep a connection to each control instance
// that they ever called, and call the next instance as soon as one is late. Without a
// bound they take every descriptor of the process, and voters, entries and operators get
// none.
package doorkeeper
