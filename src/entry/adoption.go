package entry

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
)

// methodAdopt hands a call over from an entry that stops to another one.
const methodAdopt connector.Method = "call/adopt"

// maxAdoptAttempts is how many entries are asked to adopt a call.
const maxAdoptAttempts = 3

var errNotAdopted = errors.New("no other entry took the call")

// Adopt hands a call over to another entry of the view.
func (e *Entry) Adopt(ctx context.Context, call *dispatcher.Call) error {
	request := newAdoptRequest(call)
	members := e.View().GetMembers()
	attempts := 0
	for _, index := range rand.Perm(len(members)) {
		if members[index].GetEntry() == string(e.Settings.Name) {
			continue
		}
		response := &messages.AdoptResponse{}
		err := e.Client.Call(ctx, members[index].GetPeerAddress(), methodAdopt, request, response)
		if err == nil && response.GetTaken() {
			return nil
		}
		if attempts++; attempts == maxAdoptAttempts {
			break
		}
	}
	return errNotAdopted
}

func newAdoptRequest(call *dispatcher.Call) *messages.AdoptRequest {
	request := &messages.AdoptRequest{
		Key:     call.Key,
		Brand:   string(call.Brand),
		Account: string(call.Account.Name),
		Service: string(call.Service),
		Method:  call.Method,
		Path:    call.Path,
		Query:   call.Query,
		Body:    call.Body,
	}
	for name, values := range call.Header {
		if name == "Authorization" {
			continue
		}
		request.Header = append(request.Header, &messages.HeaderField{
			Name:   name,
			Values: values,
		})
	}
	return request
}

func (e *Entry) handleAdoption(server *connector.Server) {
	connector.Handle(server, methodAdopt, func(ctx context.Context, peer connector.Peer, request *messages.AdoptRequest) (*messages.AdoptResponse, error) {
		if err := peer.RequireRole(certifier.Entry); err != nil {
			return nil, err
		}
		return e.callers.Adopt(ctx, request), nil
	})
}
