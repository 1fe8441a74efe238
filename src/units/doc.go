// Package units defines the types of identifiers and quantities that packages share.
package units
