// Package evaluator finds upstreams whose calls fail more often than those of their peers, from
// what all entries count, and decides which of them get fewer calls and for how long.
//
// It is designed for this load: dozens of entries, each of which sends an upstream about one call
// every few seconds. No entry sees three failures in a row at an upstream that fails half of its
// calls for some seconds, while all entries together see eight of its calls each second. A part
// of all calls fails at any upstream because of the request.
package evaluator
