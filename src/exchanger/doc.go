// Package exchanger runs one attempt of a call at one upstream over pooled HTTP/1.1 connections.
//
// It is built for many short calls over few connections, where each upstream limits its
// connections from all entries together; for connections that died or went silent while
// idle; and for answers that are truncated, late, duplicated or belong to another call.
// Results distinguish calls that provably did not run, calls that may have run, and calls
// that were answered. An answer is accepted only if it names the attempt that it belongs
// to.
//
// The package manages its own connections. The standard library's transport resends
// requests by itself, reuses a connection on which unrequested bytes are waiting, and
// does not report whether any byte of a request was sent.
package exchanger
