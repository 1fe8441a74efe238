package enroller

import (
	"time"

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
	return [...]string{"unknown", "ready", "leaving", "gone"}[s]
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

func fromMessage(m *messages.RegisteredUpstream) Registration {
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

func (r *Registration) message(age time.Duration) *messages.RegisteredUpstream {
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
