// Package granter bounds what all entries together may admit of each client account's limit, whatever
// happens to messages, entries and leaders.
//
// The leader grants each entry a ceiling on the number of tokens that it admits of an account
// (Ledger), and the entry admits no call beyond it (Holder). What entries have admitted within the
// window by which the limit is judged, and what they may admit up to their ceilings, is never more
// than the limit allows. A grant ends with the entry's lease. What an entry that restarts or is not heard may have
// admitted stays charged for a lease and a window after its last poll.
//
// The next leader knows what its predecessors have granted from the replicated log: a leader grants
// no more than the last bound that it has committed, which states the tokens that have been admitted,
// with the time until they leave the window, and those that entries may still admit.
//
// Entries ask for more as soon as a call needs it. A part of what is left stays with the leader, so that
// a burst at one entry, and entries that restart, find something to be granted.
package granter
