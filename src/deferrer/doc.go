// Package deferrer decides whether a call that can no longer be on time yields to calls that can.
//
// Upstreams take waiting calls by rank and in arrival order within a rank. Once their queues are longer
// than the latency target, arrival order makes every call late. A deferred call is sent at a rank of its
// own behind the calls of its urgency that can still be on time. The decisions are functions without
// state, clock or randomness.
package deferrer
