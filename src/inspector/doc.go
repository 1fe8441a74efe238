// Package inspector implements a process's HTTP server for operators: state dump, metrics,
// health and the process's own operator routes.
package inspector
