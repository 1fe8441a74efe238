// Package ejector decides which upstreams are left out for a while because calls fail there.
package ejector
