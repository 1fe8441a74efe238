// Package dispatcher runs one call: it admits and records the call, makes its attempts
// at upstreams, and returns exactly one answer or refusal.
package dispatcher
