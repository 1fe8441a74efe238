// Package placer chooses the upstream for each attempt of a call.
//
// The load it answers: calls arrive in clumps at several entries that see each
// other's work only through the load that upstreams state in their answers;
// prompts share long parts whose reading again costs an upstream's time; some
// upstreams are slow, refuse, or are dead without saying so.
//
// A call with a shared part goes to the upstream that the part belongs to by
// rendezvous hashing, which all entries work out alike without a message, unless
// that one is clearly busier than the rest; every other call goes to the least
// busy of the sound ones, those of its own data centre first among equals.
package placer
