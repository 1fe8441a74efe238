// Package withholder keeps this entry's calls from upstreams that have asked it for none.
//
// An upstream that refuses a call may ask the entry for a back-off, and one that is leaving says
// so in its answers. Both bind only the entry that received the answer, whether or not it reaches
// control, and only for the incarnation that sent it. After a back-off the calls return step by
// step. Entries report their back-offs to the leader, which counts such upstreams as missing
// (Summary). The types are free of I/O and have no clock.
package withholder
