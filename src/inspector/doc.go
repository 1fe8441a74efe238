// Package inspector serves one process's state, metrics and health to operators.
package inspector
