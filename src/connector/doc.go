// Package connector carries messages between the system's own processes by JSON-RPC 2.0.
//
// Each frame holds a JSON-RPC object and, beside it, the message in protobuf's binary
// form, for which a number stands in the object's params or result. An unknown field or
// method is refused.
package connector
