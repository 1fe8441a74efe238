// Package prover holds the end-to-end tests, which cause failures in real processes on loopback.
package prover
