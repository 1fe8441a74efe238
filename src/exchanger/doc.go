// Package exchanger runs one attempt of a call at one upstream over pooled HTTP/1.1 connections.
//
// The load it answers: many short calls over few connections, each upstream
// bounded in its connections over all entries; connections that died or fell
// silent while idle; answers that are cut, late, doubled or of another call. The
// exchange keeps apart what provably did not run, what may have run, and what was
// answered, and an answer is taken only from the attempt that it names.
//
// Connections are this package's own and not those of the standard library's
// transport, which sends a request again by itself, hands a connection out while
// bytes that nobody asked for wait on it, and does not tell whether a byte of the
// request has left.
package exchanger
