// Package forwarder runs one attempt of a call at one upstream and forwards only complete answers.
package forwarder
