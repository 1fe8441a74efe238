// Package pathfinder keeps track of which upstreams this entry can connect to.
//
// An entry whose links to the upstreams are down sees the same as one whose upstreams have all
// crashed. So it asks other entries before it takes a service for partitioned (Verifier), records its
// own reach by service, and reports it to the leader. The other types are free of I/O and have no clock.
package pathfinder
