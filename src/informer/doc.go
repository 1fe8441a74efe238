// Package informer connects an entry's table of upstreams to the gossip with other entries.
//
// It is a state machine like the tracker and the gossiper that it drives: the process passes it
// events and sends the messages that it returns.
package informer
