package enroller

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// State is whether an upstream accepts new work.
type State int

// The states, in the only order in which one incarnation passes through them.
const (
	Ready State = iota + 1
	Leaving
	Gone
)

// String returns the state's name as shown in logs and dumps.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// MaxTextBytes bounds each text of a registration, so that a table of the largest fleet fits the memory of a control
// instance, and a page of it what entries read.
const MaxTextBytes = 256

// InvalidError is returned for a registration that cannot be passed on to other processes.
type InvalidError struct {
	Upstream units.Upstream
	// Field is the name of the field, and Reason what is wrong with it.
	Field  string
	Reason string
}

// Error states the cause and the remedy.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the registration of upstream %q is not taken: its %s %s; correct what sends it", e.Upstream, e.Field, e.Reason)
}

// Registration is the content of one heartbeat.
type Registration struct {
	ID         units.Upstream
	Service    units.Service
	Address    string
	DataCentre units.DataCentre
	Slots      int
	State      State
	// Incarnation is when the incarnation started, in milliseconds of Unix time.
	Incarnation units.Incarnation
	Sequence    uint64
	// ColdFor is how much longer the upstream is slow after its start.
	ColdFor     time.Duration
	Reclaimable bool
	// LeavesIn is the time until the upstream is terminated, 0 if unknown.
	LeavesIn time.Duration
	// Release is the version of the upstream's software, "" if it does not report one.
	Release units.Release
	// Silent is set if no heartbeat has arrived for several intervals.
	Silent bool
}

// Validate returns an *InvalidError unless the registration can be passed on. A table holds no other ones.
func (r *Registration) Validate() error {
	invalid := func(field, reason string) error {
		return &InvalidError{
			Upstream: r.ID[:min(len(r.ID), MaxTextBytes)],
			Field:    field,
			Reason:   reason,
		}
	}
	texts := []struct{ field, text string }{
		{"id", string(r.ID)},
		{"service", string(r.Service)},
		{"address", r.Address},
		{"data centre", string(r.DataCentre)},
		{"version", string(r.Release)},
	}
	for _, t := range texts {
		if !utf8.ValidString(t.text) {
			return invalid(t.field, "is not valid UTF-8")
		}
		if len(t.text) > MaxTextBytes {
			return invalid(t.field, fmt.Sprintf("is longer than %d bytes", MaxTextBytes))
		}
		if strings.ContainsFunc(t.text, unicode.IsControl) {
			return invalid(t.field, "contains a control character")
		}
	}
	switch {
	case r.ID == "":
		return invalid("id", "is empty")
	case strings.TrimSpace(string(r.ID)) != string(r.ID):
		// A header's value is read without them, so that the upstream would take it for another id.
		return invalid("id", "begins or ends with white space")
	case r.Address == "" && r.State != Gone:
		return invalid("address", "is empty")
	case r.State < Ready || r.State > Gone:
		return invalid("state", fmt.Sprintf("%d is unknown", int(r.State)))
	case r.Incarnation > math.MaxInt64:
		return invalid("start time", "is out of range")
	case r.Slots < 0:
		return invalid("number of slots", "is negative")
	}
	return nil
}

// NewDeparture returns the registration that says that the incarnations of an upstream up to the given one have gone.
func NewDeparture(id units.Upstream, incarnation units.Incarnation) Registration {
	return Registration{
		ID:          id,
		State:       Gone,
		Incarnation: incarnation,
	}
}

// FromMessage returns the registration that a message states; it may be invalid.
func FromMessage(m *messages.RegisteredUpstream) Registration {
	return Registration{
		ID:          units.Upstream(m.GetId()),
		Service:     units.Service(m.GetService()),
		Address:     m.GetAddress(),
		DataCentre:  units.DataCentre(m.GetDataCentre()),
		Slots:       int(m.GetSlots()),
		State:       State(m.GetState()),
		Incarnation: units.Incarnation(m.GetBornMs()),
		Sequence:    m.GetSequence(),
		ColdFor:     time.Duration(m.GetColdMs()) * time.Millisecond,
		Reclaimable: m.GetReclaimable(),
		LeavesIn:    time.Duration(m.GetLeavesMs()) * time.Millisecond,
		Silent:      m.GetSilent(),
		Release:     units.Release(m.GetVersion()),
	}
}

// Message returns the registration as it was received age ago.
func (r *Registration) Message(age time.Duration) *messages.RegisteredUpstream {
	return &messages.RegisteredUpstream{
		Id:          string(r.ID),
		Service:     string(r.Service),
		Address:     r.Address,
		DataCentre:  string(r.DataCentre),
		Slots:       int64(r.Slots),
		State:       messages.RegistrationState(r.State),
		BornMs:      int64(r.Incarnation),
		Sequence:    r.Sequence,
		ColdMs:      max(0, r.ColdFor-age).Milliseconds(),
		Reclaimable: r.Reclaimable,
		LeavesMs:    max(0, r.LeavesIn-age).Milliseconds(),
		AgeMs:       age.Milliseconds(),
		Silent:      r.Silent,
		Version:     string(r.Release),
	}
}
