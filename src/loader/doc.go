// Package loader sends an open-loop load of calls to entries, as callers behind
// the platform's balancer would, and keeps what each was told.
package loader
