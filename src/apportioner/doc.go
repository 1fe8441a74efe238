// Package apportioner holds client accounts to their limits over all entries together.
//
// The load it answers: one account sends several times its limit through a few
// entries while the others see little of it; another, well within its limit,
// sends clumps of large calls to one entry at a time. Control keeps one token
// bucket for each account, charged with what entries say in their polls that they
// have admitted. With each poll it lends an entry a part of what the bucket
// holds, after the entry's share of what was asked for lately, so that a clump
// may use most of the account's burst at a single entry. It lends more than there
// is: what entries may admit beyond the bucket before their next poll is bounded
// by how much an account asks for in that time, and the limit as it is judged
// leaves room for it.
package apportioner
