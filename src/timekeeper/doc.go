// Package timekeeper tells the time on instances that are suspended and whose time of day jumps.
//
// Three clocks are kept apart. Go's monotonic clock stands still while an
// instance is suspended, so that no lease may be counted by it. The time of day
// may be off by seconds, so that no window of true time may be counted by it.
// Now counts suspension and never jumps; TrueTime is the median of what many
// instances take for the time of day.
package timekeeper
