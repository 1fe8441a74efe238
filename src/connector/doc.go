// Package connector implements RPC between the system's own processes over JSON-RPC 2.0.
//
// Each frame holds a JSON-RPC object and, as an attachment, the message in protobuf's
// binary form. The object's params or result holds only the attachment's number. Messages
// with unknown fields and requests for unknown methods are refused.
package connector
