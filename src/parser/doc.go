// Package parser reads settings and configurations from YAML.
//
// All problems of a document are reported at once, each with its position, the
// value, what is allowed and a remedy. A document with a problem is rejected as a
// whole.
package parser
