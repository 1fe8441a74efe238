// Package configurator accepts or rejects submitted configurations.
//
// Its state is replicated: every voter applies the same submissions in the
// order of the log and reaches the same outcome for each.
package configurator
