// Package acceptor limits the number of open connections of a server.
//
// It is needed because thousands of upstreams keep a connection open to each control
// instance that they ever called, and call the next instance as soon as one answers late.
// Without a limit, they use up the file descriptors of the process, and voters, entries
// and operators can no longer connect.
package acceptor
