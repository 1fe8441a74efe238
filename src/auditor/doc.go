// Package auditor tells from the logs of entries which instances carry the calls.
package auditor
