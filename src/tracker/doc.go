// Package tracker knows which upstreams live, from what they announce of themselves.
package tracker
