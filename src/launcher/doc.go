// Package launcher reads the command line and runs what it names.
package launcher
