// Package launcher parses the command line and runs its command.
package launcher
