// Package capper bounds what a process reads from upstreams, from other processes and from the platform.
//
// A Reader or a Transport bounds the heads, trailers and chunk extensions of the answers of one connection, ReadAll
// and Drain their bodies. A Capper bounds what all answers of the process hold together, and reports the answers that
// exceed a bound. Each bound ends with an *ExceededError, after which the connection must be closed.
package capper
