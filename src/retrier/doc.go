// Package retrier bounds how many attempts beyond the first an entry makes.
//
// The load it answers: upstreams that refuse or fail part of their calls would
// get each call several times over and fail more. The bound is on the whole
// fleet and slides; each entry keeps to its own calls' ratio and an even part of
// the slack, so that no message between entries is needed and their sum stays
// within the bound.
package retrier
