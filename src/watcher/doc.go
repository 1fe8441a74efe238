// Package watcher decides how long an upstream may be silent and detects when it is silent for
// longer.
package watcher
