// Package forwarder runs one attempt of a call at one upstream and passes on only whole answers.
package forwarder
