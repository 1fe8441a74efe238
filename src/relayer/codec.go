package relayer

import (
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/framer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// The methods that entries call on each other. A carrier sends heads and events before its response
// to a call.
const (
	MethodOffer  connector.Method = "relay/offer"
	MethodSend   connector.Method = "relay/send"
	MethodProbe  connector.Method = "relay/probe"
	methodHead   connector.Method = "relay/head"
	methodEvents connector.Method = "relay/events"
)

func (s *Sender) offer(call *dispatcher.Call, upstream *tracker.Upstream) *messages.RelayOffer {
	return &messages.RelayOffer{
		Entry:       string(s.Name),
		Call:        string(call.ID),
		Service:     string(upstream.Service),
		Upstream:    string(upstream.Name),
		Incarnation: uint64(upstream.Incarnation),
		BodyBytes:   uint32(len(call.Body)),
	}
}

// encodeCall encodes one attempt of a call.
func encodeCall(offer *messages.RelayOffer, call *dispatcher.Call, attempt units.Attempt, stream *dispatcher.Stream) *messages.RelayedCall {
	m := &messages.RelayedCall{
		Offer:        offer,
		Method:       call.Method,
		Host:         call.Host,
		Path:         call.Path,
		Query:        call.Query,
		Header:       encodeHeader(call.Header),
		Body:         call.Body,
		Credential:   call.Credential,
		Model:        string(call.Model),
		PromptTokens: int64(call.PromptTokens),
		Rank:         int32(call.Rank),
		Stream:       call.Stream,
		Repeatable:   call.Repeatable,
		Attempt:      uint32(attempt),
		Offset:       int64(stream.Offset()),
		Fingerprint:  uint64(call.Fingerprint),
		Kind:         string(call.Kind),
		InterTokenNs: int64(call.InterTokenLatency),
		MaxOutput:    int64(call.MaxOutput),
		Text:         stream.Text(),
		ModelVersion: string(stream.Version()),
	}
	if call.Account != nil {
		m.Account = string(call.Account.Name)
		m.Priority = int32(call.Account.Priority)
	}
	for _, section := range call.Prefixes {
		m.Sections = append(m.Sections, &messages.PromptSection{
			Id:     section.ID,
			Tokens: int64(section.Tokens),
		})
	}
	return m
}

// decodeCall decodes one attempt of a call, without its times.
func decodeCall(m *messages.RelayedCall) *dispatcher.Call {
	call := &dispatcher.Call{
		ID:                units.CallID(m.GetOffer().GetCall()),
		Service:           units.Service(m.GetOffer().GetService()),
		Kind:              parser.ServiceKind(m.GetKind()),
		Method:            m.GetMethod(),
		Host:              m.GetHost(),
		Path:              m.GetPath(),
		Query:             m.GetQuery(),
		Header:            decodeHeader(m.GetHeader()),
		Body:              m.GetBody(),
		InterTokenLatency: time.Duration(m.GetInterTokenNs()),
		Repeatable:        m.GetRepeatable(),
		Stream:            m.GetStream(),
		Model:             units.Model(m.GetModel()),
		PromptTokens:      units.Tokens(m.GetPromptTokens()),
		MaxOutput:         units.Tokens(m.GetMaxOutput()),
		ResumeOffset:      units.Tokens(m.GetOffset()),
		Rank:              int(m.GetRank()),
		Credential:        m.GetCredential(),
		Fingerprint:       units.Fingerprint(m.GetFingerprint()),
	}
	if m.GetAccount() != "" {
		call.Account = &parser.ClientAccount{
			Name:     units.Account(m.GetAccount()),
			Priority: int(m.GetPriority()),
		}
	}
	for _, section := range m.GetSections() {
		call.Prefixes = append(call.Prefixes, dispatcher.PromptPrefix{
			ID:     section.GetId(),
			Tokens: units.Tokens(section.GetTokens()),
		})
	}
	return call
}

// encodeHeader encodes the header of a call. One with values that are not UTF-8 cannot be sent, since a carrier that
// runs earlier code would send the call without them.
func encodeHeader(header http.Header) []*messages.HeaderField {
	fields := make([]*messages.HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, &messages.HeaderField{
			Name:   name,
			Values: values,
		})
	}
	return fields
}

// encodeAnswerHeader encodes the header of an answer. A sender that runs earlier code reads only the values that are UTF-8.
func encodeAnswerHeader(header http.Header) []*messages.HeaderField {
	fields := encodeHeader(header)
	for _, field := range fields {
		if !slices.ContainsFunc(field.GetValues(), isNotUTF8) {
			continue
		}
		for _, value := range field.GetValues() {
			field.RawValues = append(field.RawValues, []byte(value))
		}
		field.Values = slices.DeleteFunc(slices.Clone(field.GetValues()), isNotUTF8)
	}
	return fields
}

func isNotUTF8(value string) bool { return !utf8.ValidString(value) }

func decodeHeader(fields []*messages.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		values := field.GetValues()
		if raw := field.GetRawValues(); len(raw) > 0 {
			values = make([]string, len(raw))
			for i, value := range raw {
				values[i] = string(value)
			}
		}
		header[field.GetName()] = values
	}
	return header
}

// resultKinds maps the results of attempts that reach the sender.
var resultKinds = map[dispatcher.ResultKind]messages.RelayResult{
	dispatcher.Answered:       messages.RelayResult_RELAY_RESULT_ANSWERED,
	dispatcher.NotRun:         messages.RelayResult_RELAY_RESULT_NOT_RUN,
	dispatcher.OutcomeUnknown: messages.RelayResult_RELAY_RESULT_OUTCOME_UNKNOWN,
	dispatcher.Unresumable:    messages.RelayResult_RELAY_RESULT_UNRESUMABLE,
	dispatcher.Failed:         messages.RelayResult_RELAY_RESULT_FAILED,
}

// encodeResult encodes how an attempt has ended. The sender of one whose result has no encoding has
// left.
func encodeResult(result dispatcher.Result, started bool, stated Stated) *messages.RelayEnd {
	end := &messages.RelayEnd{
		Result:        resultKinds[result.Kind],
		ConnectFailed: result.ConnectFailed,
		Unsent:        result.Unsent,
		NoRoom:        result.NoRoom,
		Started:       started,
		RetryAfterNs:  int64(stated.RetryAfter),
		Leaving:       stated.Leaving,
		Framing:       string(result.Receipt.Framing),
		AnswerEnd:     string(result.Receipt.End),
	}
	if result.Answer != nil {
		end.Answer = &messages.StoredAnswer{
			Status: int32(result.Answer.Status),
			Header: encodeAnswerHeader(result.Answer.Header),
			Body:   result.Answer.Body,
		}
	}
	if result.Err != nil {
		end.Error = result.Err.Error()
	}
	return end
}

// decodeResult decodes how an attempt has ended. One that cannot be decoded may have run.
func decodeResult(peer Peer, end *messages.RelayEnd) dispatcher.Result {
	result := dispatcher.Result{
		Kind:          dispatcher.OutcomeUnknown,
		ConnectFailed: end.GetConnectFailed(),
		Unsent:        end.GetUnsent(),
		NoRoom:        end.GetNoRoom(),
		RetryAfter:    time.Duration(end.GetRetryAfterNs()),
		Receipt: framer.Receipt{
			Framing: framer.Framing(end.GetFraming()),
			End:     framer.End(end.GetAnswerEnd()),
		},
	}
	for kind, encoded := range resultKinds {
		if encoded == end.GetResult() {
			result.Kind = kind
		}
	}
	if answer := end.GetAnswer(); answer != nil {
		if err := capper.CheckStatus(int(answer.GetStatus())); err != nil {
			return dispatcher.Result{
				Kind: dispatcher.OutcomeUnknown,
				Err: &PeerError{
					Peer:   peer.Name,
					Reason: err.Error(),
				},
			}
		}
		result.Answer = &dispatcher.Answer{
			Status: int(answer.GetStatus()),
			Header: decodeHeader(answer.GetHeader()),
			Body:   answer.GetBody(),
		}
	}
	if end.GetError() != "" {
		result.Err = &PeerError{
			Peer:   peer.Name,
			Reason: end.GetError(),
		}
	}
	return result
}
