// Package buyer decides which instances the control leader buys and releases.
//
// It holds the cheapest capacity that is still enough after the loss of any one data centre.
// Each purchase is committed to the log before the platform is asked, with a token that makes
// the request idempotent.
package buyer
