// Package buyer decides which instances the control leader buys and gives back.
//
// It holds the cheapest capacity that is enough after the loss of any one data
// centre. Each purchase is committed to the log before the platform is asked,
// under a token that makes the request idempotent.
package buyer
