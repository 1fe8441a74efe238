// Package meter registers a process's metrics and exports them in the Prometheus format.
package meter
