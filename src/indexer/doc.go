// Package indexer builds immutable snapshots of the configuration and the usable upstreams for request handling.
package indexer
