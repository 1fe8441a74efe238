// Package loader generates an open-loop load of calls to entries, like callers
// behind the platform's load balancer, and records the outcome of each call.
package loader
