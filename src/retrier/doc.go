// Package retrier bounds how many attempts beyond the first an entry makes.
//
// Without a bound, upstreams that refuse or fail some of their calls would receive each
// call several times and fail more. The bound applies to all entries together, in a sliding
// window, whichever of them end or start again. Each entry limits itself to the ratio of its own calls
// plus an equal part of the slack, so that their sum stays within the bound without a message between
// entries. It uses its part only while it and the others count each other (membership).
package retrier
