package relayer

import (
	"net/http"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// maxAnswerBytes bounds a relayed answer, and the text of a relayed stream, as entries bound those of upstreams.
const maxAnswerBytes = 16 << 20

// checkHead returns an error for a head that is too long or not the first one.
func (e *exchange) checkHead(header http.Header) error {
	if e.begun {
		return &capper.ExceededError{
			Kind:  capper.Informational,
			Limit: 0,
		}
	}
	e.begun = true
	size := capper.HeaderBytes(header)
	if size > capper.MaxHeadBytes {
		return &capper.ExceededError{
			Kind:  capper.Head,
			Limit: capper.MaxHeadBytes,
		}
	}
	return e.hold.Grow(int64(size))
}

// checkBody returns an error for an answer, or the text of a stream, that is too long.
func (e *exchange) checkBody(before, added int) error {
	if before+added > maxAnswerBytes {
		return &capper.ExceededError{
			Kind:  capper.Body,
			Limit: maxAnswerBytes,
		}
	}
	return e.hold.Grow(int64(added))
}

// checkAnswer returns an error for an answer that is too long.
func (e *exchange) checkAnswer(answer *dispatcher.Answer) error {
	if answer == nil {
		return nil
	}
	if size := capper.HeaderBytes(answer.Header); size > capper.MaxHeadBytes {
		return &capper.ExceededError{
			Kind:  capper.Head,
			Limit: capper.MaxHeadBytes,
		}
	}
	return e.checkBody(0, len(answer.Body))
}
