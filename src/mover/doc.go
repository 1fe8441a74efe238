// Package mover decides what becomes of the streams at an upstream that is being reclaimed.
//
// Each stream is left to finish, moved with its KV cache, or recomputed
// elsewhere, so that the most computed tokens are saved before the stop.
package mover
