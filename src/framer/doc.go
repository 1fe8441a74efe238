// Package framer tells how an upstream framed an answer and how the answer ended.
//
// An answer may state its length, come in chunks, or end with its connection. Only the first two
// say whether it is complete.
package framer
