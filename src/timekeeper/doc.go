// Package timekeeper provides clocks for instances that may be suspended and whose time of day may jump.
//
// Three clocks are distinguished. Go's monotonic clock stops while an instance is
// suspended, so it must not be used for leases. The time of day may be off by
// seconds, so it must not be used for windows of true time. Now includes suspension
// and never jumps; TrueTime is the median of many instances' times of day.
package timekeeper
