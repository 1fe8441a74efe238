// Package logger writes one line of key=value pairs for each event.
package logger
