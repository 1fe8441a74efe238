// Package measurer runs performance and failure experiments on real processes,
// stores their results and renders them into docs/MEASUREMENTS.md.
package measurer
