// Package limiter admits calls within the limits of brands, client accounts and
// services, and in fair order where a service is at capacity.
//
// The limits hold over all entries: each entry uses its share of them. Calls that
// an overloaded service cannot start within their maximum wait are refused at once.
package limiter
