// Package placer chooses the upstream for each attempt of a call.
//
// Calls arrive in bursts at several entries, which see each other's traffic only through
// the load that upstreams report in their answers. Prompts share long prefixes, and
// computing one again costs an upstream's time. Some upstreams are slow, refuse calls, or
// have failed without any notice.
//
// Each call compares a few upstreams by the expected wait there: the prompt tokens that
// are queued for prefill, the call's own tokens that the upstream has not cached, and the
// slots in use. The few are the two owners of the call's prompt prefix by rendezvous
// hashing, which all entries compute alike without a message, and a random sample: an
// entry's knowledge of other entries' calls is one poll old, and if every entry compared
// all upstreams, all would send to the one that was least busy at that poll.
package placer
