// Package dispatcher takes one call from admission through its attempts to its one answer.
package dispatcher
