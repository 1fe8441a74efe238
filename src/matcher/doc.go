// Package matcher holds versioned configurations, and finds the route and the account of a call.
package matcher
