// Package certifier holds a process's certificates, reloads them when their files change, and tells who the other end of a connection is.
//
// A certificate states its holder's identity in a URI such as
// urn:rosecroft:entry:e1: a role and a name.
package certifier
