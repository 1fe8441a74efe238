// Package placer chooses the upstream for each attempt of a call.
//
// The load it answers: calls arrive in clumps at several entries that see each
// other's work only through the load that upstreams state in their answers;
// prompts share long parts whose reading again costs an upstream's time; some
// upstreams are slow, refuse, or are dead without saying so.
//
// Each call compares a few upstreams by what it would wait for there: the prompt
// tokens that wait to be read, its own that the upstream lacks, and the places
// taken. The few are two that its shared part belongs to by rendezvous hashing,
// which all entries work out alike without a message, and some drawn by lot: what
// an entry knows of others' calls is a poll old, and all of them would send to the
// one that was least busy then.
package placer
