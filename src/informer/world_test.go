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

// fleet is entries with a network between them that loses, doubles and delays.
type fleet struct {
	entries   []*Informer
	now       time.Time
	random    *rand.Rand
	loss      float64
	frozen    map[int]bool
	underWay  []delivery
	upstreams map[string]*upstream
	left      map[string]map[int]uint64
	ended     int
	suspected int
	// lost says which requests get lost on their way.
	lost      func(from, to int) bool
	confirmed func()
	check     func(format string, arguments ...any)
}

type delivery struct {
	at  time.Time
	to  int
	run func()
}

type upstream struct {
	incarnation uint64
	sequence    uint64
	home        int
	alive       bool
	leaving     bool
	diedAt      time.Time
}

func newFleet(entries int, seed uint64) *fleet {
	f := &fleet{
		now:       time.Unix(1000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		frozen:    make(map[int]bool),
		upstreams: make(map[string]*upstream),
		left:      make(map[string]map[int]uint64),
		confirmed: func() {},
		lost:      func(int, int) bool { return false },
	}
	for i := range entries {
		one := &Informer{
			Tracker: &tracker.Tracker{
				SuspicionTimeout: 1500 * time.Millisecond,
				Expiry:           3 * time.Second,
				PauseThreshold:   500 * time.Millisecond,
			},
			Gossiper: &gossiper.Gossiper{
				Options: testGossip(i),
				Random:  rand.New(rand.NewPCG(seed, uint64(i))),
			},
		}
		one.Step(f.now, Viewed{View: view(entries)})
		one.Step(f.now, Ticked{})
		f.entries = append(f.entries, one)
	}
	return f
}

func testGossip(i int) gossiper.Options {
	return gossiper.Options{
		ID:             entryName(i),
		DataCentre:     dataCentre(i),
		Interval:       100 * time.Millisecond,
		Refresh:        time.Second,
		Digest:         time.Second,
		BytesPerSecond: 4096,
		SmallFleet:     64,
		Keepers:        8,
		Relays:         2,
		Probes:         3,
	}
}

// slowSigns leaves news alone as what entries tell each other for a minute.
func (f *fleet) slowSigns() {
	for _, one := range f.entries {
		one.Gossiper.Options.Refresh = time.Minute
		one.Gossiper.Options.Digest = time.Minute
	}
	f.run(time.Second)
}

func entryName(i int) units.Instance    { return units.Instance(fmt.Sprintf("e%03d", i)) }
func dataCentre(i int) units.DataCentre { return units.DataCentre(fmt.Sprintf("dc-%d", i%4)) }
func (f *fleet) after(d time.Duration, to int, run func()) {
	f.underWay = append(f.underWay, delivery{
		at:  f.now.Add(d),
		to:  to,
		run: run,
	})
}

func view(entries int) *messages.EntryView {
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

func life(name string, incarnation, sequence uint64) *messages.Announcement {
	return &messages.Announcement{
		Upstream:    name,
		Service:     "s",
		Address:     "http://127.0.0.1:9000",
		Incarnation: incarnation,
		Sequence:    sequence,
	}
}

// deliver brings an announcement to an entry now and returns why it was refused.
func (f *fleet) deliver(to int, a *messages.Announcement) error {
	if f.frozen[to] {
		f.after(0, to, func() { _ = f.deliver(to, a) })
		return nil
	}
	return f.take(to, f.entries[to].Step(f.now, Announced{Announcement: a})).Refused
}

func (f *fleet) take(at int, out Outcome) Outcome {
	for _, left := range out.Left {
		name := string(left.Upstream.Name)
		if left.Reason == "announced" {
			if f.left[name] == nil {
				f.left[name] = make(map[int]uint64)
			}
			f.left[name][at] = max(f.left[name][at], uint64(left.Upstream.Incarnation))
		} else {
			f.ended++
		}
	}
	f.suspected += len(out.Suspected)
	if len(out.Confirmed) > 0 {
		f.confirmed()
	}
	for _, send := range out.Sends {
		f.post(at, send)
	}
	return out
}

func (f *fleet) post(from int, send gossiper.Send) {
	to := slices.IndexFunc(f.entries, func(i *Informer) bool { return i.Gossiper.Options.ID == send.To })
	answered := false
	sentAt := f.now
	f.after(500*time.Millisecond, from, func() {
		if !answered {
			f.take(from, f.entries[from].Step(f.now, Failed{
				To:     send.To,
				Gossip: send.Gossip,
				Took:   f.now.Sub(sentAt),
			}))
		}
	})
	copies := 1
	if f.random.Float64() < f.loss/3 {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.loss || f.lost(from, to) {
			continue
		}
		f.after(f.delay(), to, func() {
			out := f.take(to, f.entries[to].Step(f.now, Received{Gossip: send.Gossip}))
			if f.random.Float64() < f.loss {
				return
			}
			f.after(f.delay(), from, func() {
				answered = true
				f.take(from, f.entries[from].Step(f.now, Answered{
					To:       send.To,
					Gossip:   send.Gossip,
					Response: out.Response,
				}))
			})
		})
	}
}

func (f *fleet) delay() time.Duration {
	if f.random.Float64() < f.loss {
		return time.Duration(f.random.Int64N(int64(maxDelay)))
	}
	return 2 * time.Millisecond
}

func (f *fleet) run(span time.Duration) {
	for range span / tick {
		f.now = f.now.Add(tick)
		due := f.underWay
		f.underWay = nil
		for _, d := range due {
			if d.at.After(f.now) || f.frozen[d.to] {
				f.underWay = append(f.underWay, d)
				continue
			}
			d.run()
		}
		for i, one := range f.entries {
			if !f.frozen[i] {
				f.take(i, one.Step(f.now, Ticked{}))
			}
		}
	}
}

func (f *fleet) usable(i int, name units.Upstream) bool {
	return slices.ContainsFunc(f.entries[i].Tracker.Usable(), func(u *tracker.Upstream) bool { return u.Name == name })
}

// disturb draws what happens next to upstreams and entries.
func (f *fleet) disturb(t *rapid.T) {
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
			u.home = rapid.IntRange(0, len(f.entries)-1).Draw(t, "home")
		case 4, 5, 6:
			if !u.alive {
				*u = upstream{
					incarnation: u.incarnation + 1,
					alive:       true,
					home:        u.home,
				}
			}
		}
		f.announce(name, u)
	}
	if who := rapid.IntRange(0, 4*len(f.entries)).Draw(t, "freeze"); who < len(f.entries) {
		f.frozen[who] = !f.frozen[who]
	}
}

func (u *upstream) stop(now time.Time) {
	if u.alive {
		u.alive = false
		u.diedAt = now
	}
}

func (f *fleet) announce(name string, u *upstream) {
	if !u.alive {
		return
	}
	u.sequence++
	a := life(name, u.incarnation, u.sequence)
	a.Leaving = u.leaving
	a.LeavingWithinMs = 2000
	if f.random.Float64() >= f.loss {
		home := u.home
		f.after(f.delay(), home, func() { _ = f.deliver(home, a) })
	}
	if u.leaving && u.sequence%10 == 0 {
		u.stop(f.now)
	}
}

// verify checks that no entry uses an incarnation that it knows to leave.
func (f *fleet) verify(t *rapid.T) {
	for i, one := range f.entries {
		for _, u := range one.Tracker.Usable() {
			if got, want := uint64(u.Incarnation), f.left[string(u.Name)][i]; got <= want {
				t.Fatalf("entry %d uses %s: got incarnation %d, want above %d, which left", i, u.Name, got, want)
			}
		}
	}
}

// settle stops all upstreams, waits until each entry gave them up and then
// wakes the frozen ones with what was on its way to them.
func (f *fleet) settle(t *rapid.T) {
	sleepers := []int{}
	for i := range f.entries {
		if f.frozen[i] {
			sleepers = append(sleepers, i)
		}
	}
	for _, u := range f.upstreams {
		u.stop(f.now)
	}
	f.run(75 * time.Second)
	for _, i := range sleepers {
		f.frozen[i] = false
	}
	for range 15 {
		f.run(time.Second)
		for i, one := range f.entries {
			if slices.Contains(sleepers, i) {
				continue
			}
			if got, want := len(one.Tracker.Usable()), 0; got != want {
				t.Fatalf("upstreams that entry %d uses after their end: got %d, want %d", i, got, want)
			}
		}
	}
	for _, i := range sleepers {
		if got, want := len(f.entries[i].Tracker.Usable()), 0; got != want {
			t.Fatalf("upstreams that the woken entry %d uses: got %d, want %d", i, got, want)
		}
	}
}
