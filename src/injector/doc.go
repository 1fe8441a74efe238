// Package injector injects a seeded schedule of faults into a running fleet and
// compares the answers that callers received with what the upstreams actually ran.
package injector
