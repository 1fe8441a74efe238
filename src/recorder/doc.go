// Package recorder keeps what became of each call, so that none runs twice and a resend gets the same answer.
package recorder
