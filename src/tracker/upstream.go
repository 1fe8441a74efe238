package tracker

import (
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Upstream is one back end as it last announced itself; it is immutable once published.
type Upstream struct {
	Name         units.Upstream
	Service      units.Service
	Address      string
	DataCentre   units.DataCentre
	MachineClass units.MachineClass
	Reclaimable  bool
	Price        units.Price
	Incarnation  units.Incarnation
	Sequence     uint64
	Leaving      bool
	// LeavesAt is when a leaving upstream terminates.
	LeavesAt     time.Time
	Model        units.Model
	ModelVersion units.ModelVersion
	// Release is the version of its software, "" if not announced.
	Release  units.Release
	Adapters []string
	Slots    int
	Step     time.Duration
	// PrefillPerStep is how many prompt tokens one step prefills, 0 if unknown.
	PrefillPerStep units.Tokens
	KV             KV
	Load           Load
	Role           string
	LoadingVersion units.ModelVersion
	ChecksFencing  bool
	// AnnouncedAt is when the announcement left the upstream, as far as is known here.
	AnnouncedAt time.Time
	// Direct is set once the upstream has announced itself to this entry, last at DirectAt.
	Direct   bool
	DirectAt time.Time
	// Suspected is set while the upstream is silent.
	Suspected bool
	// SuspicionSpread is set once the suspicion has been spread to other entries.
	SuspicionSpread bool
	// Announcement is the message as received; it is immutable.
	Announcement *messages.Announcement
	// Local is shared by all announcements of one incarnation.
	Local *LocalState
}

// Load is an upstream's load as measured by itself.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens units.Tokens
	MeasuredAt   time.Time
	// PeerCalls is how many of the running and queued calls came from other entries.
	PeerCalls int
}

// KV is the size and transfer rate of an engine's KV cache export; zeros mean that it exports
// none.
type KV struct {
	BytesPerToken  int64
	BytesPerSecond int64
}

// LocalState is this entry's own state of an upstream; request goroutines update it.
type LocalState struct {
	InFlight atomic.Int64
	// PrefillTokens counts prompt tokens sent whose calls have no first token yet.
	PrefillTokens atomic.Int64
	// Queue divides these tokens by rank.
	Queue PromptQueue
	// IdleConnections counts idle connections of this process.
	IdleConnections atomic.Int64
	// ID identifies the incarnation within this process, from 1.
	ID uint32
	// FirstSeenAt is when the incarnation was first seen.
	FirstSeenAt time.Time
	// EjectedUntil is in nanoseconds of Unix time, 0 if the upstream was never ejected.
	EjectedUntil atomic.Int64

	// history holds the last samples of InFlight; only the goroutine that owns the table
	// uses it.
	history [historyLength]sample
	samples int
}

type sample struct {
	at       time.Time
	inFlight int64
}

// historyLength is how many samples are kept; they cover the age of several reports.
const historyLength = 32

// sample records the number of calls in flight now.
func (l *LocalState) sample(now time.Time) {
	l.history[l.samples%historyLength] = sample{
		at:       now,
		inFlight: l.InFlight.Load(),
	}
	l.samples++
}

// inFlightAt returns the number of calls in flight at an earlier time, by the last sample
// before it.
func (l *LocalState) inFlightAt(at time.Time) int64 {
	for i := l.samples - 1; i >= max(0, l.samples-historyLength); i-- {
		if known := l.history[i%historyLength]; !known.at.After(at) {
			return known.inFlight
		}
	}
	return 0
}

// subtractOwnCalls sets PeerCalls by subtracting this entry's own calls, which it knows more
// exactly and without delay.
func (l *Load) subtractOwnCalls(live *LocalState) {
	own := live.inFlightAt(l.MeasuredAt)
	l.PeerCalls = max(0, l.Running+l.Queued-int(own))
}

// acceptsWork reports whether an upstream would accept new calls.
func (u *Upstream) acceptsWork() bool {
	return !u.Leaving && u.LoadingVersion == ""
}

func fromAnnouncement(now time.Time, a *messages.Announcement) *Upstream {
	return &Upstream{
		Name:         units.Upstream(a.GetUpstream()),
		Service:      units.Service(a.GetService()),
		Address:      a.GetAddress(),
		DataCentre:   units.DataCentre(a.GetDataCentre()),
		MachineClass: units.MachineClass(a.GetMachineClass()),
		Reclaimable:  a.GetReclaimable(),
		Price:        units.Price(a.GetPricePerHour()),
		Incarnation:  units.Incarnation(a.GetIncarnation()),
		Sequence:     a.GetSequence(),
		Leaving:      a.GetLeaving(),
		LeavesAt:     now.Add(time.Duration(a.GetLeavingWithinMs()) * time.Millisecond),
		Model:        units.Model(a.GetModel()),
		ModelVersion: units.ModelVersion(a.GetModelVersion()),
		Adapters:     a.GetAdapters(),
		Slots:        int(a.GetSlots()),
		Step:         time.Duration(a.GetStepMs() * float64(time.Millisecond)),
		Load: Load{
			Running:      int(a.GetLoad().GetRunning()),
			Queued:       int(a.GetLoad().GetQueued()),
			QueuedTokens: units.Tokens(a.GetLoad().GetQueuedTokens()),
			MeasuredAt:   now.Add(-time.Duration(a.GetLoad().GetAgeMs()) * time.Millisecond),
		},
		Role:           a.GetRole(),
		LoadingVersion: units.ModelVersion(a.GetLoadingVersion()),
		ChecksFencing:  a.GetChecksFencing(),
		AnnouncedAt:    now,
		Announcement:   a,
		PrefillPerStep: units.Tokens(a.GetPrefillPerStep()),
		KV: KV{
			BytesPerToken:  int64(a.GetKvBytesPerToken()),
			BytesPerSecond: int64(a.GetKvBytesPerSecond()),
		},
		Local: &LocalState{
			FirstSeenAt: now,
		},
	}
}
