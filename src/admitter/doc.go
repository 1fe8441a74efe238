// Package admitter bounds what the clients of a process hold of it: connections, heads, bodies as they grow, bytes that
// wait in the kernel, and answers that they do not take.
//
// An Admitter holds the sum over all clients. Each listener of the process is wrapped in a Listener, whose connections
// count in the sum, and each HTTP server is passed to Protect, by which the Admitter knows which part of a request a
// connection is at. What a handler keeps of a request is added to the Account of its connection.
//
// While there is room, nothing is refused. Where it ends, the connections that make no progress are closed first, then
// idle ones, then those that are sending the largest requests; those whose request has been read whole never are,
// unless they take none of their answer. If none can be closed, the client that asks for room is refused.
package admitter
