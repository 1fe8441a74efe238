// Package informer joins one entry's table of upstreams with what it tells and hears of other entries.
//
// It is a state machine like the tracker and the gossiper that it drives: the
// process brings it events and sends what it returns.
package informer
