// Package injector injects a seeded schedule of faults into a running fleet and
// compares what callers were told with what the upstreams really ran.
package injector
