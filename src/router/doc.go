// Package router chooses the upstream for each attempt of a call.
package router
