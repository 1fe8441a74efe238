// Package server implements an entry's HTTP API for callers.
package server
