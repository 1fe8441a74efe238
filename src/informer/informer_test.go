package informer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/gossiper"
	"github.com/rosecroft/rosecroft/src/tracker"
)

const (
	tick     = 50 * time.Millisecond
	maxDelay = time.Second
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// An upstream announces itself to one entry of twenty alone. Callers of every
// entry need it, so each entry must know it within a second, also where the
// first relay of a data centre is dead.
func TestAnnouncementReachesAllWithinASecond(t *testing.T) {
	for _, dead := range []int{-1, 1, 2, 3} {
		f := newFleet(20, 1)
		f.frozen[dead] = true
		f.run(5 * tick)
		_ = f.deliver(0, life("u", 1, 1))
		f.run(time.Second)
		for i := range f.entries {
			if got, want := f.usable(i, "u"), true; got != want && i != dead {
				t.Errorf("entry %d knows the upstream with entry %d dead: got %t, want %t", i, dead, got, want)
			}
		}
	}
}

// An upstream tells one entry that it leaves, and the entry dies as soon as one
// other entry has answered it. Every other entry would send new work to a
// machine that is taken back; each must know within two seconds.
func TestLeavingMarkOutlivesItsFirstHearer(t *testing.T) {
	f := newFleet(9, 2)
	_ = f.deliver(0, life("u", 1, 1))
	f.run(2 * time.Second)
	mark := life("u", 1, 9)
	mark.Leaving = true
	mark.LeavingWithinMs = 60_000
	f.confirmed = func() { f.frozen[0] = true }
	_ = f.deliver(0, mark)
	f.run(2 * time.Second)
	if got, want := f.frozen[0], true; got != want {
		t.Errorf("another entry answered: got %t, want %t", got, want)
	}
	for i := 1; i < len(f.entries); i++ {
		if got, want := f.usable(i, "u"), false; got != want {
			t.Errorf("entry %d would use the leaving upstream: got %t, want %t", i, got, want)
		}
	}
}

// An upstream moves its announcements from one entry to another, as it does
// when an answer is slow; signs of life are slow as in a large fleet. The first
// entry must not have it given up anywhere: the second one's news comes first.
func TestMovedUpstreamIsNotGivenUp(t *testing.T) {
	f := newFleet(9, 3)
	f.slowSigns()
	sequence := uint64(0)
	for home := range 2 {
		for range 14 {
			sequence++
			_ = f.deliver(home, life("u", 1, sequence))
			f.run(200 * time.Millisecond)
		}
	}
	if got, want := f.suspected+f.ended, 0; got != want {
		t.Errorf("entries that suspected the upstream or gave it up: got %d, want %d", got, want)
	}
}

// An upstream announces itself to two entries, then to one of them alone, whose
// messages to the other are lost. The other one must ask before it tells that
// the upstream is silent: the answers show that it lives.
func TestSilentUpstreamIsAskedFor(t *testing.T) {
	f := newFleet(4, 6)
	f.slowSigns()
	f.lost = func(_, to int) bool { return to == 0 }
	for sequence := range uint64(30) {
		if sequence < 10 {
			_ = f.deliver(0, life("u", 1, sequence+1))
		}
		_ = f.deliver(1, life("u", 1, sequence+1))
		f.run(200 * time.Millisecond)
	}
	if got, want := f.ended, 0; got != want {
		t.Errorf("entries that gave the upstream up: got %d, want %d", got, want)
	}
	if got, want := f.suspected > 0, true; got != want {
		t.Errorf("the other entry suspected the upstream: got %t, want %t", got, want)
	}
}

// An entry freezes for ten seconds and wakes; all its upstreams have gone on
// announcing themselves. It must not declare them gone, to itself or to others,
// for what it could not hear.
func TestFrozenEntryBlamesItself(t *testing.T) {
	f := newFleet(5, 4)
	for step := range 100 {
		f.frozen[0] = step >= 20 && step < 70
		for _, name := range []string{"a", "b", "c", "d"} {
			_ = f.deliver(0, life(name, 1, uint64(step+1)))
			_ = f.deliver(1, life(name, 1, uint64(step+1)))
		}
		f.run(200 * time.Millisecond)
	}
	if got, want := f.ended, 0; got != want {
		t.Errorf("upstreams given up: got %d, want %d", got, want)
	}
}

// An instance announces the name of a live upstream from another address, to
// draw its calls. Every entry must keep the first, until it has left.
func TestTakenNameIsRefused(t *testing.T) {
	f := newFleet(5, 5)
	_ = f.deliver(0, life("u", 1, 1))
	f.run(time.Second)
	thief := life("u", 2, 1)
	thief.Address = "http://127.0.0.1:9999"
	if got, want := f.deliver(3, thief) != nil, true; got != want {
		t.Errorf("second upstream of the name refused: got %t, want %t", got, want)
	}
	f.run(time.Second)
	for i := range f.entries {
		if got, want := f.entries[i].Tracker.Upstream("u").Address, "http://127.0.0.1:9000"; got != want {
			t.Errorf("address at entry %d: got %s, want %s", i, got, want)
		}
	}
}

// The fleet grows from 40 entries to 640 while each hears as many upstreams as
// before. What an entry sends in a second must stay within its budget, and the
// number of entries that it tells must not follow the fleet's size beyond two
// relays for each data centre.
func TestCostOfAnEntryStaysBounded(t *testing.T) {
	for _, entries := range []int{40, 160, 640} {
		g := &gossiper.Gossiper{
			Options: testGossip(0),
			Random:  rand.New(rand.NewPCG(1, 1)),
		}
		table := &tracker.Tracker{Expiry: time.Minute}
		one := &Informer{
			Tracker:  table,
			Gossiper: g,
		}
		now := time.Unix(1000, 0)
		one.Step(now, Viewed{View: view(entries)})
		for i := range 12 {
			one.Step(now, Announced{Announcement: life(fmt.Sprint("u", i), 1, 1)})
		}
		bytes := 0
		for step := range 400 {
			now = now.Add(tick)
			for _, send := range one.Step(now, Ticked{}).Sends {
				if step >= 100 {
					bytes += proto.Size(send.Gossip)
				}
			}
		}
		if got, want := bytes/15, testGossip(0).BytesPerSecond; got > want {
			t.Errorf("bytes a second of %d entries: got %d, want at most %d", entries, got, want)
		}
		keepers, relays, _ := g.Counts()
		if got, want := keepers+relays, max(entries/4, 8)+6; got > want {
			t.Errorf("entries told by one of %d: got %d, want at most %d", entries, got, want)
		}
	}
}

// Upstreams start, leave, die and restart; entries freeze and wake; messages
// are lost, doubled and delayed by up to a second. Whatever happens, no entry
// uses an incarnation again after its leaving mark arrived there, and once an
// upstream has died and all entries gave it up, nothing late revives it.
func TestLateMessagesReviveNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(5, rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		f.check = t.Fatalf
		for range 40 {
			f.disturb(t)
			f.run(200 * time.Millisecond)
			f.verify(t)
		}
		f.settle(t)
	})
}
