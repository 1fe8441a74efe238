// Package locator keeps an index of which engine is likely to have which prompt blocks cached.
//
// Engines tell of their caches late and with gaps, so that an entry of the index
// counts for less the older it is, and goes with its age.
package locator
