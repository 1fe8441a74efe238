package capper

import (
	"fmt"
	"net/http"
)

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// InvalidStatusError is the error for an answer whose status is none that a final answer may have.
type InvalidStatusError struct {
	Status int
}

// Error names the status.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the answer has status %03d, which no final answer has; look at the sender's own log", e.Status)
}

// CheckStatus returns an *InvalidStatusError for a status that a final answer cannot have. Nothing is ever asked to switch to
// another protocol.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return &InvalidStatusError{Status: status}
	}
	return nil
}

// isInformational reports whether a status says that another head follows.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
