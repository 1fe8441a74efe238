package recorder

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// OwnerEvent is an input of Owner.Step.
type OwnerEvent interface{ ownerEvent() }

// RequestReceived is a proposer's request.
type RequestReceived struct {
	// Token is returned with the reply.
	Token   any
	Request *messages.RecordRequest
}

// FillRequested is another owner's request for records.
type FillRequested struct {
	Token   any
	Request *messages.FillRequest
}

// FillResponded is the response to an AskFill; a nil response means that none came.
type FillResponded struct {
	Ask      AskFill
	Response *messages.FillResponse
}

// ViewCommitted is a new view that control has committed.
type ViewCommitted struct {
	View *View
}

// RetentionChanged sets how long records of ended calls are kept, and in how many bytes.
type RetentionChanged struct {
	KeepFor   time.Duration
	KeepBytes int64
}

// OwnerTicked is the periodic tick of an owner.
type OwnerTicked struct{}

func (RequestReceived) ownerEvent()  {}
func (FillRequested) ownerEvent()    {}
func (FillResponded) ownerEvent()    {}
func (ViewCommitted) ownerEvent()    {}
func (RetentionChanged) ownerEvent() {}
func (OwnerTicked) ownerEvent()      {}

// OwnerAction is an output of Owner.Step that its caller must carry out.
type OwnerAction interface{ ownerAction() }

// Reply answers a RequestReceived event.
type Reply struct {
	Token    any
	Response *messages.RecordResponse
}

// FillReply answers a FillRequested event.
type FillReply struct {
	Token    any
	Response *messages.FillResponse
}

// AskFill asks an earlier owner for records.
type AskFill struct {
	To      Member
	Request *messages.FillRequest
}

func (Reply) ownerAction()     {}
func (FillReply) ownerAction() {}
func (AskFill) ownerAction()   {}
