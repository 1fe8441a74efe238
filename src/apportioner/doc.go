// Package apportioner holds client accounts to their limits over all entries together.
//
// The load it answers: one account sends several times its limit through a few
// entries, while the others see little of it. Control gives each entry a part of
// each limit after its share of what was asked for lately, renewed with every
// poll; an entry charges calls to a token bucket of its part. What a limit allows
// over the window in which it is judged is a little more than its rate, and the
// buckets use most of that, so that clumps at one entry are not refused while the
// account as a whole is within its limit.
package apportioner
