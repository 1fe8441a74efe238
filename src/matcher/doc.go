// Package matcher holds configurations where the highest version wins, and finds the route and the account of a call.
package matcher
