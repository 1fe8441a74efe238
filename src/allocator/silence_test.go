package allocator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/units"
)

// A silent entry continues to admit at its share. What it admits must be charged to
// the account in the meantime, and charged only once when the entry polls again.
func TestSilentEntryIsCharged(t *testing.T) {
	account := &matcher.Account{Name: "a", Rate: 1_000_000, Burst: 1_000_000}
	level := func(silent bool) float64 {
		d := &Allocator{Lease: time.Minute, Since: start.Add(-time.Hour), Window: window}
		now := start
		spent := 0.0
		for range 50 {
			now = now.Add(100 * time.Millisecond)
			spent += 50_000
			// The bucket starts well below full, since a full one would take no
			// refill.
			d.RecordDemand(now, "e1", 1, map[units.Account]Demand{"a": {Rate: 500_000, Spent: spent, Level: 80_000, LevelAge: 1}})
			if !silent || now.Sub(start) < time.Second || now.Sub(start) > 4900*time.Millisecond {
				d.RecordDemand(now, "e2", 1, map[units.Account]Demand{"a": {Rate: 500_000, Spent: spent}})
			}
			_, _, _ = d.Share(now, "e1", account)
			_, _, _ = d.Share(now, "e2", account)
		}
		_, level, _ := d.Share(now, "e1", account)
		return level
	}
	if got, want := level(true), level(false); got < want-1 || got > want+1 {
		t.Errorf("level after an entry was silent: got %.0f, want %.0f as without the silence", got, want)
	}
}

// Guards against accounts within their limits whose calls are refused for seconds after all entries have been killed: what
// these are assumed to have admitted was taken from a full bucket, and what accrued meanwhile was lost.
func TestAccountsHaveRoomAfterAllEntriesWereKilled(t *testing.T) {
	inBothModes(t, testAccountsHaveRoomAfterAllEntriesWereKilled)
}

func testAccountsHaveRoomAfterAllEntriesWereKilled(t *testing.T, byUrgency bool) {
	const silence = 2400 * time.Millisecond
	f := newFleet(7, byUrgency)
	f.account.Rate, f.account.Burst = 400_000, 400_000
	random := rand.New(rand.NewPCG(7, 7))
	now, killedAt := start, start.Add(5*time.Second)
	asked, refused := 0, 0
	for n := 0; now.Before(killedAt.Add(silence + time.Second)); n++ {
		now = now.Add(5 * time.Millisecond)
		if now.After(killedAt) && now.Before(killedAt.Add(silence)) {
			continue
		}
		if now.Equal(killedAt.Add(silence)) {
			for i := range f.meters {
				f.meters[i] = f.newMeter()
			}
		}
		for i := range f.meters {
			incarnation := units.Incarnation(1)
			if now.After(killedAt) {
				incarnation = 2
			}
			switch (n + i*7) % 20 {
			case 0:
				f.pollOf(now, i, incarnation)
			case 3:
				f.respond(now, i)
			}
		}
		const meanSize = 3000.0
		for expected := 0.5 * f.account.Rate * 0.005 / meanSize; random.Float64() < expected; expected-- {
			// An entry serves calls once it has had its first response.
			admitted := f.call(now, random.IntN(len(f.meters)), meanSize)
			if now.After(killedAt.Add(silence + 200*time.Millisecond)) {
				asked++
				if !admitted {
					refused++
				}
			}
		}
	}
	if got, want := refused, asked/10; got > want {
		t.Errorf("calls refused in the second after the entries' return, at half of the limit: got %d of %d, want at most %d", got, asked, want)
	}
}
