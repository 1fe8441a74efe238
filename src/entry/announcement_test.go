package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
)

const goodAnnouncement = `{"upstream":"u","service":"s","address":"http://127.0.0.1:1","incarnation":"1","sequence":"1","stepMs":2,"slots":16}`

func TestAnnouncementsBeyondBoundsAreRefused(t *testing.T) {
	cases := map[string]struct {
		document string
		want     string
	}{
		"good":                 {document: goodAnnouncement},
		"not JSON":             {document: "{", want: "read the announcement"},
		"unknown field":        {document: `{"upstream":"u","colour":"red"}`, want: `unknown field "colour"`},
		"step not a number":    {document: `{"stepMs":"NaN"}`, want: "step-ms is NaN"},
		"infinite price":       {document: `{"pricePerHour":"Infinity"}`, want: "price-per-hour is +Inf"},
		"negative price":       {document: `{"pricePerHour":-1}`, want: "price-per-hour is -1"},
		"leaves in the past":   {document: `{"leavingWithinMs":"-1"}`, want: "leaving-within-ms is -1"},
		"load from the future": {document: `{"load":{"ageMs":"-5"}}`, want: "load.age-ms is -5"},
		"too many slots":       {document: `{"slots":4294967295}`, want: "slots is"},
		"name too long":        {document: `{"upstream":"` + strings.Repeat("u", maxTextLength+1) + `"}`, want: "upstream is 256 long"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := parseAnnouncement([]byte(c.document))
			if c.want == "" {
				if err != nil {
					t.Errorf("error: got %v, want none", err)
				}
				return
			}
			// The library's messages contain either a space or a no-break space.
			if err == nil || !strings.Contains(strings.ReplaceAll(err.Error(), "\u00a0", " "), c.want) {
				t.Errorf("error: got %v, want %q in it", err, c.want)
			}
		})
	}
}

// FuzzAnnouncement checks that no announcement crashes the process or leaves an upstream with
// figures that would distort the choice of upstreams.
func FuzzAnnouncement(f *testing.F) {
	for _, seed := range []string{
		goodAnnouncement, "", "{", "null", "[]", `{"load":{}}`, `{"load":null,"adapters":[null]}`,
		`{"upstream":"u","service":"s","address":"http://[::1","incarnation":"18446744073709551615"}`,
		`{"upstream":"u","service":"s","address":"http://h","incarnation":"2","leaving":true,"leavingWithinMs":"5"}`,
		`{"stepMs":1e308}`, `{"stepMs":"-Infinity"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		announcement, err := parseAnnouncement(content)
		if err != nil {
			return
		}
		table := &tracker.Tracker{
			Expiry: time.Second,
		}
		now := time.Unix(1_000_000, 0)
		table.Step(now, tracker.Announced{Announcement: announcement})
		for _, upstream := range table.All() {
			if upstream.Step < 0 || upstream.Slots < 0 || upstream.Load.Running < 0 || upstream.Load.MeasuredAt.After(now) {
				t.Errorf("upstream: got %+v, want no negative figure and no load from the future", upstream)
			}
		}
		table.Step(now.Add(time.Minute), tracker.Ticked{})
	})
}
