package distributor

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// TestMain fixes the seed, unless another is asked for.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

// Documents change at any place, and an entry has any earlier one or none. What
// it forms from an update must be the newest document, byte for byte; an update
// for another base is refused and changes nothing.
func TestUpdateGivesTheNewestDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contents := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 20), 1, 12).Draw(t, "documents")
		var source *Source
		for i, content := range contents {
			source = source.With(units.Version(i+1), content)
		}
		newest := contents[len(contents)-1]
		base := rapid.IntRange(0, len(contents)).Draw(t, "base")
		update := source.Update(units.Version(base))
		if base == len(contents) {
			if update != nil {
				t.Fatalf("update for the newest version: got %v, want none", update)
			}
			return
		}
		var own []byte
		if base > 0 {
			own = contents[base-1]
		}
		got, err := Apply(units.Version(base), own, update)
		if err != nil || !bytes.Equal(got, newest) {
			t.Fatalf("document from base %d: got %q (%v), want %q", base, got, err, newest)
		}
		for _, other := range []int{base, base + 100} {
			var refused *BaseError
			got, err := Apply(units.Version(other), append([]byte("x"), own...), update)
			if !errors.As(err, &refused) && !bytes.Equal(got, newest) {
				t.Fatalf("document from another base: got %q (%v), want a refusal", got, err)
			}
		}
	})
}

// One line changes in a large document. The update must carry little more than it.
func TestUpdateOfOneLineIsSmall(t *testing.T) {
	before := bytes.Repeat([]byte("a line of a large configuration\n"), 1000)
	after := bytes.Clone(before)
	copy(after[16000:], "another")
	update := new(Source).With(1, before).With(2, after).Update(1)
	if got, most := len(update.GetContent()), 40; got > most {
		t.Errorf("bytes of the update: got %d, want at most %d", got, most)
	}
}
