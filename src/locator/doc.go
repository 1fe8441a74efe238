// Package locator keeps an index of which engines are likely to have which prompt blocks
// cached.
//
// Engines report changes of their caches late and with gaps, so an entry of the index counts
// for less the older it is, and expires.
package locator
