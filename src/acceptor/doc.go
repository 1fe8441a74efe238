// Package acceptor limits which connections a server accepts.
//
// A Listener limits how many are open. It is needed because thousands of upstreams keep a
// connection open to each control instance that they ever called, and call the next instance
// as soon as one answers late. Without a limit, they use up the file descriptors of the process,
// and voters, entries and operators can no longer connect.
//
// An Intake limits how many new ones an overloaded entry accepts a second, so that it answers
// what it reads. It follows what a Load measures: whether requests are read promptly, and how much
// of the instance's link they use.
package acceptor
