// Package measurer runs experiments on real processes and keeps their figures for docs/MEASUREMENTS.md.
package measurer
