// Package limiter admits calls within the limits of their accounts.
package limiter
