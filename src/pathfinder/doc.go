// Package pathfinder keeps track of which upstreams this entry can connect to.
//
// An entry whose links to the upstreams are down sees the same as one whose upstreams have all
// crashed. So it records only its own reach, by service, and reports it to the leader, which
// knows what other entries reach. The types are free of I/O and have no clock.
package pathfinder
