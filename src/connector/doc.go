// Package connector carries messages between the system's own processes by JSON-RPC 2.0.
//
// Messages are the generated ones, in protobuf's JSON form; an unknown field
// or method is refused.
package connector
