// Package prover holds the tests that cause failures in real processes on loopback.
package prover
