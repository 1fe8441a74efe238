// Package quarantiner finds requests that end the upstreams which run them, and decides which
// ones may reach no upstream any more.
//
// Entries tell what each upstream had when it ended, and which of these requests have run
// elsewhere (Evidence). The leader adds it up (Quarantiner): one that was there when several
// upstreams ended, and that has run to its end at none, is quarantined. It is a state machine
// without a clock or I/O.
package quarantiner
