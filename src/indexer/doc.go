// Package indexer turns the configuration and the live upstreams into an immutable snapshot for traffic.
package indexer
