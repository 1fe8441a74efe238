// Package ejector decides which upstreams get no calls for a while because calls fail there.
package ejector
