// Package quarantiner detects requests, and parts of prompts, that crash the upstreams that run them, and decides
// which of them must not be sent to any upstream.
//
// Each entry records which requests an upstream was running when it crashed, and which of these
// requests have since run elsewhere (Evidence). The leader combines the reports (Quarantiner):
// a request that was present when several upstreams crashed, and that has run to completion at
// none, is quarantined. Requests that all differ may share a part of their prompts that crashes
// upstreams; the PartDetector finds such parts. Both are state machines without a clock or I/O.
package quarantiner
