// Package logger provides structured loggers, which write one line per event as key=value
// pairs or JSON, and a bounded, non-blocking log writer.
package logger
