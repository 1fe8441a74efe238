// Package tallier counts the calls of each client account in windows of true time.
//
// Entries count and tell control their counts again and again, each from the
// entry's start on, so that lost and repeated messages do no harm. Control adds
// them up; the counts of a window are written to the log before they are
// reported, so that whoever leads next reports the same ones.
package tallier
