// Package meter holds a process's metrics and serves them in the Prometheus format.
package meter
