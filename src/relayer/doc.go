// Package relayer lets an entry that cannot connect to an upstream send calls to it through
// another entry that can.
//
// A Sender offers one attempt of a call to a peer, on a connection that carries one call at a time,
// and sends it once the peer has accepted: until then nothing has run, and another peer may be asked.
// The peer's Carrier makes the attempt over its own connections and passes the answer back event by
// event. A relayed attempt is never relayed again. The sender has admitted the call: it charges
// limits, the retry budget and usage, decides on further attempts, and resumes streams. The carrier
// observes the upstream: stated limits and back-offs, crashes, and failures bind and inform it as if
// the call were its own.
package relayer
