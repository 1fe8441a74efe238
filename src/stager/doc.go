// Package stager starts fleets of the real programs on loopback, for
// demonstrations, measurements and tests of failures.
package stager
