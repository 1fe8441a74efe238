// Package connector carries messages between the system's own processes by JSON-RPC 2.0.
//
// Messages are the generated ones, in protobuf's binary form as a base64 string,
// since their JSON form took three times as much to send; an unknown field or method is refused.
package connector
