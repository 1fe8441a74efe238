// Package server answers callers over HTTP.
package server
