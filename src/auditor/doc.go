// Package auditor evaluates the logs of entries: which instances handled the calls, and why
// calls failed or were late.
package auditor
