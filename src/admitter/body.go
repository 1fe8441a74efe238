package admitter

import (
	"errors"
	"net/http"

	"github.com/rosecroft/rosecroft/src/capper"
)

// ReadBody reads the body of a request up to a limit, and adds it to the account of its client. Its error is a
// *capper.ExceededError if the body is longer, and a *RefusedError if there is no room for it or it is not sent in time.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	return capper.ReadAll(capper.Source{
		Body:   r.Body,
		Kind:   capper.Body,
		Length: r.ContentLength,
		Limit:  limit,
	}, AccountOf(r.Context()))
}

// CloseUnread lets the connection of a request end with its answer if the request has not been read whole. Otherwise the
// server would wait for the rest before it answers.
func CloseUnread(w http.ResponseWriter, r *http.Request) {
	if !AccountOf(r.Context()).IsRead() {
		w.Header().Set("Connection", "close")
	}
}

// StatusOf returns the status of the answer to a request whose body could not be read: one that promises that it has not
// run where the same request may be sent again.
func StatusOf(err error) int {
	var refused *RefusedError
	var exceeded *capper.ExceededError
	switch {
	case errors.As(err, &refused) && refused.Kind == RequestTimeout:
		return http.StatusRequestTimeout
	case errors.As(err, &refused):
		return http.StatusServiceUnavailable
	case errors.As(err, &exceeded):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
