// Package allocator enforces the limits of client accounts across all entries.
//
// It is designed for two loads: an account that sends several times its limit
// through a few entries while the others see little of it, and an account well
// within its limit that sends bursts of large calls to one entry at a time. Control
// keeps one token bucket for each account and charges it with the admitted tokens
// that entries report in their polls. In response to each poll it grants the entry
// a share of the bucket's level, in proportion to the entry's share of recent
// demand, so that a burst can use most of the account's burst allowance at a single
// entry. The grants overcommit the bucket: what entries may admit beyond its level
// before their next poll is bounded by the account's demand in that time, and the
// window by which the limit is judged leaves room for it.
//
// An entry that is cut off uses its share until its lease expires, and control charges
// the account for that. Entries report the shares of an earlier leader to the next one,
// which charges its account for those that no longer poll it as well.
//
// With limits by urgency, an entry keeps a part of its grant for the more urgent calls
// of an account that asks for more than its limit, admits calls of one urgency whatever
// their size, and tells refused calls to return when a virtual queue of them has
// drained. All of this is decided and kept at the entry; grants are the same as without.
package allocator
