// Package certifier loads a process's certificates, reloads them when their files change,
// and determines the identity of the peer of a connection.
//
// A certificate states its holder's identity, a role and a name, in a URI such as
// urn:rosecroft:entry:e1.
package certifier
