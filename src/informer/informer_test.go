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

// An upstream announces itself to only one entry of twenty. Callers of every entry need it, so
// each entry must know it within a second, even if the first relay of a data centre is dead.
func TestAnnouncementReachesAllWithinASecond(t *testing.T) {
	for _, frozenEntry := range []int{-1, 1, 2, 3} {
		f := newFleet(20, 1)
		f.frozen[frozenEntry] = true
		f.run(5 * tick)
		_ = f.deliver(0, announcement("u", 1, 1))
		f.run(time.Second)
		for i := range f.entries {
			if got, want := f.usable(i, "u"), true; got != want && i != frozenEntry {
				t.Errorf("entry %d knows the upstream with entry %d dead: got %t, want %t", i, frozenEntry, got, want)
			}
		}
	}
}

// An upstream announces to one entry that it is leaving, and this entry dies as soon as one
// other entry has answered it. Any entry without the leaving mark would send new work to a
// machine that is being reclaimed; each must have the mark within two seconds.
func TestLeavingMarkSurvivesItsFirstReceiver(t *testing.T) {
	f := newFleet(9, 2)
	_ = f.deliver(0, announcement("u", 1, 1))
	f.run(2 * time.Second)
	mark := announcement("u", 1, 9)
	mark.Leaving = true
	mark.LeavingWithinMs = 60_000
	f.onConfirmed = func() { f.frozen[0] = true }
	_ = f.deliver(0, mark)
	f.run(2 * time.Second)
	if got, want := f.frozen[0], true; got != want {
		t.Errorf("another entry has answered: got %t, want %t", got, want)
	}
	for i := 1; i < len(f.entries); i++ {
		if got, want := f.usable(i, "u"), false; got != want {
			t.Errorf("entry %d would use the leaving upstream: got %t, want %t", i, got, want)
		}
	}
}

// An upstream moves its announcements from one entry to another, as it does when an answer is
// slow; refreshes are infrequent, as in a large fleet. The first entry must not cause it to be
// given up anywhere: the news of the second entry arrives first.
func TestMovedUpstreamIsNotGivenUp(t *testing.T) {
	f := newFleet(9, 3)
	f.slowRefresh()
	sequence := uint64(0)
	for entry := range 2 {
		for range 14 {
			sequence++
			_ = f.deliver(entry, announcement("u", 1, sequence))
			f.run(200 * time.Millisecond)
		}
	}
	if got, want := f.suspected+f.givenUp, 0; got != want {
		t.Errorf("entries that suspected the upstream or gave it up: got %d, want %d", got, want)
	}
}

// An upstream announces itself to two entries, then to only one of them, whose messages to the
// other are lost. The other entry must probe before it spreads the suspicion: the answers show
// that the upstream is alive.
func TestSilentUpstreamIsProbed(t *testing.T) {
	f := newFleet(4, 6)
	f.slowRefresh()
	f.isLost = func(_, to int) bool { return to == 0 }
	for sequence := range uint64(30) {
		if sequence < 10 {
			_ = f.deliver(0, announcement("u", 1, sequence+1))
		}
		_ = f.deliver(1, announcement("u", 1, sequence+1))
		f.run(200 * time.Millisecond)
	}
	if got, want := f.givenUp, 0; got != want {
		t.Errorf("entries that gave the upstream up: got %d, want %d", got, want)
	}
	if got, want := f.suspected > 0, true; got != want {
		t.Errorf("the other entry suspects the upstream: got %t, want %t", got, want)
	}
}

// An entry freezes for ten seconds and resumes, while all its upstreams keep announcing
// themselves. It must not declare them gone, locally or to others, because of announcements
// that it could not receive.
func TestFrozenEntryKeepsItsUpstreams(t *testing.T) {
	f := newFleet(5, 4)
	for step := range 100 {
		f.frozen[0] = step >= 20 && step < 70
		for _, name := range []string{"a", "b", "c", "d"} {
			_ = f.deliver(0, announcement(name, 1, uint64(step+1)))
			_ = f.deliver(1, announcement(name, 1, uint64(step+1)))
		}
		f.run(200 * time.Millisecond)
	}
	if got, want := f.givenUp, 0; got != want {
		t.Errorf("upstreams given up: got %d, want %d", got, want)
	}
}

// An instance announces the name of a live upstream from another address, to attract its calls.
// Every entry must keep the first upstream until it has left.
func TestDuplicateNameIsRefused(t *testing.T) {
	f := newFleet(5, 5)
	_ = f.deliver(0, announcement("u", 1, 1))
	f.run(time.Second)
	duplicate := announcement("u", 2, 1)
	duplicate.Address = "http://127.0.0.1:9999"
	if got, want := f.deliver(3, duplicate) != nil, true; got != want {
		t.Errorf("second upstream with the same name refused: got %t, want %t", got, want)
	}
	f.run(time.Second)
	for i := range f.entries {
		if got, want := f.entries[i].Tracker.Upstream("u").Address, "http://127.0.0.1:9000"; got != want {
			t.Errorf("address at entry %d: got %s, want %s", i, got, want)
		}
	}
}

// The fleet grows from 40 entries to 640 while each entry receives the announcements of as many
// upstreams as before. The bytes that an entry sends in a second must stay within its budget,
// and the number of entries that it sends to must not grow with the fleet beyond two relays per
// data centre.
func TestCostOfAnEntryStaysBounded(t *testing.T) {
	for _, entries := range []int{40, 160, 640} {
		g := &gossiper.Gossiper{
			Options: gossipOptions(0),
			Random:  rand.New(rand.NewPCG(1, 1)),
		}
		table := &tracker.Tracker{Expiry: time.Minute}
		entry := &Informer{
			Tracker:  table,
			Gossiper: g,
		}
		now := time.Unix(1000, 0)
		entry.Step(now, ViewChanged{View: entryView(entries)})
		for i := range 12 {
			entry.Step(now, Announced{Announcement: announcement(fmt.Sprint("u", i), 1, 1)})
		}
		bytes := 0
		for step := range 400 {
			now = now.Add(tick)
			for _, send := range entry.Step(now, Ticked{}).Sends {
				if step >= 100 {
					bytes += proto.Size(send.Gossip)
				}
			}
		}
		if got, want := bytes/15, gossipOptions(0).BytesPerSecond; got > want {
			t.Errorf("bytes a second of %d entries: got %d, want at most %d", entries, got, want)
		}
		keepers, relays, _ := g.Counts()
		if got, want := keepers+relays, max(entries/4, 8)+6; got > want {
			t.Errorf("entries that one of %d sends to: got %d, want at most %d", entries, got, want)
		}
	}
}

// Upstreams start, leave, die and restart; entries freeze and resume; messages are lost,
// duplicated and delayed by up to a second. In all cases, no entry uses an incarnation after
// its leaving mark arrived there, and once an upstream has died and all entries have given it
// up, no late message revives it.
func TestLateMessagesReviveNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(5, rapid.Uint64().Draw(t, "seed"))
		f.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		f.fatalf = t.Fatalf
		for range 40 {
			f.injectFaults(t)
			f.run(200 * time.Millisecond)
			f.checkLeftAreUnused(t)
		}
		f.stopAll(t)
	})
}
