// Package units holds the named types for ids and quantities that packages share.
package units
