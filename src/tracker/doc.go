// Package tracker tracks which upstreams are live, by their announcements.
package tracker
