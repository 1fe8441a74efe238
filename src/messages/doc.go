// Package messages holds the wire types generated from proto/.
package messages
