package informer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/gossiper"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// fleet simulates entries connected by a network that loses, duplicates and delays messages.
type fleet struct {
	entries   []*Informer
	now       time.Time
	random    *rand.Rand
	lossRate  float64
	frozen    map[int]bool
	inFlight  []delivery
	upstreams map[string]*upstream
	// left holds, by upstream and entry, the latest incarnation whose leaving mark arrived there.
	left      map[string]map[int]uint64
	givenUp   int
	suspected int
	// isLost reports whether a request between two entries is lost.
	isLost      func(from, to int) bool
	onConfirmed func()
	fatalf      func(format string, arguments ...any)
}

type delivery struct {
	at  time.Time
	to  int
	run func()
}

type upstream struct {
	incarnation uint64
	sequence    uint64
	entry       int
	alive       bool
	leaving     bool
	stoppedAt   time.Time
}

func newFleet(entries int, seed uint64) *fleet {
	f := &fleet{
		now:         time.Unix(1000, 0),
		random:      rand.New(rand.NewPCG(seed, 1)),
		frozen:      make(map[int]bool),
		upstreams:   make(map[string]*upstream),
		left:        make(map[string]map[int]uint64),
		onConfirmed: func() {},
		isLost:      func(int, int) bool { return false },
	}
	for i := range entries {
		entry := &Informer{
			Tracker: &tracker.Tracker{
				SuspicionTimeout: 1500 * time.Millisecond,
				Expiry:           3 * time.Second,
				PauseThreshold:   500 * time.Millisecond,
			},
			Gossiper: &gossiper.Gossiper{
				Options: gossipOptions(i),
				Random:  rand.New(rand.NewPCG(seed, uint64(i))),
			},
		}
		entry.Step(f.now, ViewChanged{View: entryView(entries)})
		entry.Step(f.now, Ticked{})
		f.entries = append(f.entries, entry)
	}
	return f
}

func gossipOptions(i int) gossiper.Options {
	return gossiper.Options{
		ID:              entryName(i),
		DataCentre:      dataCentre(i),
		RoundInterval:   100 * time.Millisecond,
		RefreshInterval: time.Second,
		DigestInterval:  time.Second,
		BytesPerSecond:  4096,
		SmallFleet:      64,
		Keepers:         8,
		Relays:          2,
		Probes:          3,
	}
}

// slowRefresh sets the refresh and digest intervals to a minute, so that until then entries
// exchange only news.
func (f *fleet) slowRefresh() {
	for _, entry := range f.entries {
		entry.Gossiper.Options.RefreshInterval = time.Minute
		entry.Gossiper.Options.DigestInterval = time.Minute
	}
	f.run(time.Second)
}

func entryName(i int) units.Instance    { return units.Instance(fmt.Sprintf("e%03d", i)) }
func dataCentre(i int) units.DataCentre { return units.DataCentre(fmt.Sprintf("dc-%d", i%4)) }
func (f *fleet) schedule(d time.Duration, to int, run func()) {
	f.inFlight = append(f.inFlight, delivery{
		at:  f.now.Add(d),
		to:  to,
		run: run,
	})
}

func entryView(entries int) *messages.EntryView {
	v := &messages.EntryView{Number: 1}
	for i := range entries {
		v.Members = append(v.Members, &messages.EntryMember{
			Entry:       string(entryName(i)),
			DataCentre:  string(dataCentre(i)),
			PeerAddress: fmt.Sprint(i),
		})
	}
	return v
}

func announcement(name string, incarnation, sequence uint64) *messages.Announcement {
	return &messages.Announcement{
		Upstream:    name,
		Service:     "s",
		Address:     "http://127.0.0.1:9000",
		Incarnation: incarnation,
		Sequence:    sequence,
	}
}

// deliver passes an announcement to an entry now and returns why it was refused.
func (f *fleet) deliver(to int, a *messages.Announcement) error {
	if f.frozen[to] {
		f.schedule(0, to, func() { _ = f.deliver(to, a) })
		return nil
	}
	return f.applyOutcome(to, f.entries[to].Step(f.now, Announced{Announcement: a})).Refused
}

func (f *fleet) applyOutcome(at int, out Outcome) Outcome {
	for _, left := range out.Left {
		name := string(left.Upstream.Name)
		if left.Reason == "announced" {
			if f.left[name] == nil {
				f.left[name] = make(map[int]uint64)
			}
			f.left[name][at] = max(f.left[name][at], uint64(left.Upstream.Incarnation))
		} else {
			f.givenUp++
		}
	}
	f.suspected += len(out.Suspected)
	if len(out.Confirmed) > 0 {
		f.onConfirmed()
	}
	for _, send := range out.Sends {
		f.sendMessage(at, send)
	}
	return out
}

func (f *fleet) sendMessage(from int, send gossiper.Send) {
	to := slices.IndexFunc(f.entries, func(i *Informer) bool { return i.Gossiper.Options.ID == send.To })
	answered := false
	sentAt := f.now
	f.schedule(500*time.Millisecond, from, func() {
		if !answered {
			f.applyOutcome(from, f.entries[from].Step(f.now, SendFailed{
				To:       send.To,
				Gossip:   send.Gossip,
				Duration: f.now.Sub(sentAt),
			}))
		}
	})
	copies := 1
	if f.random.Float64() < f.lossRate/3 {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.lossRate || f.isLost(from, to) {
			continue
		}
		f.schedule(f.delay(), to, func() {
			out := f.applyOutcome(to, f.entries[to].Step(f.now, MessageReceived{Gossip: send.Gossip}))
			if f.random.Float64() < f.lossRate {
				return
			}
			f.schedule(f.delay(), from, func() {
				answered = true
				f.applyOutcome(from, f.entries[from].Step(f.now, ResponseReceived{
					To:       send.To,
					Gossip:   send.Gossip,
					Response: out.Response,
				}))
			})
		})
	}
}

func (f *fleet) delay() time.Duration {
	if f.random.Float64() < f.lossRate {
		return time.Duration(f.random.Int64N(int64(maxDelay)))
	}
	return 2 * time.Millisecond
}

func (f *fleet) run(span time.Duration) {
	for range span / tick {
		f.now = f.now.Add(tick)
		due := f.inFlight
		f.inFlight = nil
		for _, d := range due {
			if d.at.After(f.now) || f.frozen[d.to] {
				f.inFlight = append(f.inFlight, d)
				continue
			}
			d.run()
		}
		for i, entry := range f.entries {
			if !f.frozen[i] {
				f.applyOutcome(i, entry.Step(f.now, Ticked{}))
			}
		}
	}
}

func (f *fleet) usable(i int, name units.Upstream) bool {
	return slices.ContainsFunc(f.entries[i].Tracker.Usable(), func(u *tracker.Upstream) bool { return u.Name == name })
}

// injectFaults draws the next faults of upstreams and entries.
func (f *fleet) injectFaults(t *rapid.T) {
	for _, name := range []string{"a", "b", "c"} {
		u := f.upstreams[name]
		if u == nil {
			u = &upstream{}
			f.upstreams[name] = u
		}
		switch rapid.IntRange(0, 15).Draw(t, "fate of "+name) {
		case 0:
			u.stop(f.now)
		case 1:
			if u.alive && !u.leaving {
				u.leaving = true
			}
		case 2, 3:
			u.entry = rapid.IntRange(0, len(f.entries)-1).Draw(t, "home")
		case 4, 5, 6:
			if !u.alive {
				*u = upstream{
					incarnation: u.incarnation + 1,
					alive:       true,
					entry:       u.entry,
				}
			}
		}
		f.announce(name, u)
	}
	if toggled := rapid.IntRange(0, 4*len(f.entries)).Draw(t, "freeze"); toggled < len(f.entries) {
		f.frozen[toggled] = !f.frozen[toggled]
	}
}

func (u *upstream) stop(now time.Time) {
	if u.alive {
		u.alive = false
		u.stoppedAt = now
	}
}

func (f *fleet) announce(name string, u *upstream) {
	if !u.alive {
		return
	}
	u.sequence++
	a := announcement(name, u.incarnation, u.sequence)
	a.Leaving = u.leaving
	a.LeavingWithinMs = 2000
	if f.random.Float64() >= f.lossRate {
		entry := u.entry
		f.schedule(f.delay(), entry, func() { _ = f.deliver(entry, a) })
	}
	if u.leaving && u.sequence%10 == 0 {
		u.stop(f.now)
	}
}

// checkLeftAreUnused checks that no entry uses an incarnation whose leaving mark it has
// received.
func (f *fleet) checkLeftAreUnused(t *rapid.T) {
	for i, entry := range f.entries {
		for _, u := range entry.Tracker.Usable() {
			if got, want := uint64(u.Incarnation), f.left[string(u.Name)][i]; got <= want {
				t.Fatalf("entry %d uses %s: got incarnation %d, want above %d, which left", i, u.Name, got, want)
			}
		}
	}
}

// stopAll stops all upstreams, waits until each entry has given them up, and then resumes the
// frozen entries with the messages that were still in flight to them.
func (f *fleet) stopAll(t *rapid.T) {
	frozenEntries := []int{}
	for i := range f.entries {
		if f.frozen[i] {
			frozenEntries = append(frozenEntries, i)
		}
	}
	for _, u := range f.upstreams {
		u.stop(f.now)
	}
	f.run(75 * time.Second)
	for _, i := range frozenEntries {
		f.frozen[i] = false
	}
	for range 15 {
		f.run(time.Second)
		for i, entry := range f.entries {
			if slices.Contains(frozenEntries, i) {
				continue
			}
			if got, want := len(entry.Tracker.Usable()), 0; got != want {
				t.Fatalf("upstreams that entry %d uses after their end: got %d, want %d", i, got, want)
			}
		}
	}
	for _, i := range frozenEntries {
		if got, want := len(f.entries[i].Tracker.Usable()), 0; got != want {
			t.Fatalf("upstreams that the resumed entry %d uses: got %d, want %d", i, got, want)
		}
	}
}
