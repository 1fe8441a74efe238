// Package dialer opens TCP connections that end once the other end has been silent for too long.
package dialer
