// Package limiter admits calls within the limits of brands, client accounts and services, and in a fair order where a service is full.
//
// The limits hold over all entries: each entry uses the share that it has of
// them. What a full service cannot take soon is refused at once.
package limiter
