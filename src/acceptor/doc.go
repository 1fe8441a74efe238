// Package acceptor limits which connections a server accepts.
//
// An Intake limits how many new ones an overloaded entry accepts a second, so that it answers
// what it reads. It follows what a Load measures: whether requests are read promptly, and how much
// of the instance's link they use.
package acceptor
