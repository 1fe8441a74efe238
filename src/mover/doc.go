// Package mover decides what happens to the streams at an upstream that is being reclaimed.
//
// Each stream is left to finish, moved with its KV cache, or recomputed elsewhere, so that as
// many computed tokens as possible are saved before the upstream stops.
package mover
