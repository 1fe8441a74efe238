// Package quarantiner detects requests that crash the upstreams that run them, and decides
// which of them must not be sent to any upstream.
//
// Each entry records which requests an upstream was running when it crashed, and which of these
// requests have since run elsewhere (Evidence). The leader combines the reports (Quarantiner):
// a request that was present when several upstreams crashed, and that has run to completion at
// none, is quarantined. The Quarantiner is a state machine without a clock or I/O.
package quarantiner
