// Command kit-2 plays the cases 6 to 9 of the review.
//
// It starts the project's programs as the deploy file does, each with loopback addresses of its own, and takes the
// parts of clients, engines, the operator and the platform itself.
package main
