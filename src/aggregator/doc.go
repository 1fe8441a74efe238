// Package aggregator counts the calls of each client account in windows of true time.
//
// Entries report their counts to control repeatedly, each count cumulative from the entry's
// start, so that lost and repeated messages do no harm. Control adds them up. The instances of
// control share contacts with entries, and the counts of runs that may never report them again,
// so that the next leader lacks neither. The counts of a
// window are written to the log before they are reported, so that any later leader reports
// the same counts.
package aggregator
