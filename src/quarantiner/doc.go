// Package quarantiner tells requests by what they ask for.
package quarantiner
