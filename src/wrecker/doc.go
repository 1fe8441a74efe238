// Package wrecker causes a seeded schedule of failures in a running fleet and
// compares what callers were told with what the upstreams really ran.
package wrecker
