// Package parser reads settings and configurations from YAML.
//
// It reports all problems of a document at once, each with its place, the
// value, what is allowed and the remedy; a document with a problem yields
// nothing.
package parser
