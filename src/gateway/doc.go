// Package gateway is the entry process for deployments in which upstreams register with
// control.
//
// One goroutine polls the leading control instance and builds an immutable snapshot from its
// responses; request goroutines read the snapshot through an atomic pointer. A call is served
// only while the snapshot is fresh enough: a revoked key must not be accepted anywhere after
// the revocation period, so an entry that has lost the leader stops serving calls with keys
// before that period ends.
package gateway
