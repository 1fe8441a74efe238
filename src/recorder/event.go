package recorder

import (
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// OwnerEvent is something an Owner reacts to.
type OwnerEvent interface{ ownerEvent() }

// Asked is a proposer's request.
type Asked struct {
	// Token is handed back with the reply.
	Token   any
	Request *messages.RecordRequest
}

// FillAsked is another owner's request for records.
type FillAsked struct {
	Token   any
	Request *messages.FillRequest
}

// FillAnswered is the answer to an AskFill; a nil response says that none came.
type FillAnswered struct {
	Asked    AskFill
	Response *messages.FillResponse
}

// Viewed is a view that control has committed.
type Viewed struct {
	View *View
}

// Bounded sets how much is kept of calls that have ended.
type Bounded struct {
	KeepFor   time.Duration
	KeepBytes int64
}

// OwnerTicked says that time has passed.
type OwnerTicked struct{}

func (Asked) ownerEvent()        {}
func (FillAsked) ownerEvent()    {}
func (FillAnswered) ownerEvent() {}
func (Viewed) ownerEvent()       {}
func (Bounded) ownerEvent()      {}
func (OwnerTicked) ownerEvent()  {}

// OwnerAction is something the caller of Owner.Step must carry out.
type OwnerAction interface{ ownerAction() }

// Reply answers an Asked.
type Reply struct {
	Token    any
	Response *messages.RecordResponse
}

// FillReply answers a FillAsked.
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
