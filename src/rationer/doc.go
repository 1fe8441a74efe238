// Package rationer keeps calls from upstreams that fall over when they have to reject them.
//
// An upstream that is brittle says so in its answers, with the number of calls a second that it can
// reject for want of room. Entries know each other's load by polls that are some tenths of a second
// old: a hundred entries that see the same free slot would all send a call there. So the leader gives
// each entry a share of a brittle service, as an interval of the line from 0 to 1, by the calls that
// the entry has. The slots of each upstream are spread over that line, and an entry uses those in its
// interval: each slot has one owner, without a message a call. Where there are too few slots for that,
// entries send only as many of their calls as keep the upstreams at a load at which few are rejected.
//
// The leader also passes on which services are brittle and which upstreams some entry has found full
// (Summary). The types are free of I/O and have no clock.
package rationer
