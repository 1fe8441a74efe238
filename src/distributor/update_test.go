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

// TestMain fixes the seed unless another one is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

// Documents change at any position, and an entry has any earlier version or none. Applying an
// update must produce the newest document, byte for byte; an update for another base must be
// refused and change nothing.
func TestUpdateReproducesNewestDocument(t *testing.T) {
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

// When one line of a large document changes, the update must be little larger than the line.
func TestUpdateOfOneLineIsSmall(t *testing.T) {
	before := bytes.Repeat([]byte("a line of a large configuration\n"), 1000)
	after := bytes.Clone(before)
	copy(after[16000:], "another")
	update := new(Source).With(1, before).With(2, after).Update(1)
	if got, maxBytes := len(update.GetContent()), 40; got > maxBytes {
		t.Errorf("bytes of the update: got %d, want at most %d", got, maxBytes)
	}
}
