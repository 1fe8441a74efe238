package informer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// BenchmarkCostOfAnEntry reports what one entry with 12 upstreams announcing to it sends, in
// messages and in bytes of protobuf a second, for fleets of several sizes.
func BenchmarkCostOfAnEntry(b *testing.B) {
	for _, entries := range []int{9, 16, 64, 256, 990} {
		b.Run(fmt.Sprint(entries, " entries"), func(b *testing.B) {
			entry := newFleet(1, 1).entries[0]
			now := time.Unix(2000, 0)
			entry.Step(now, ViewChanged{View: entryView(entries)})
			bytes, messages, sequence := 0, 0, uint64(0)
			for b.Loop() {
				sequence++
				for i := range 12 {
					entry.Step(now, Announced{Announcement: announcement(fmt.Sprint("u", i), 1, sequence)})
				}
				for range 4 {
					now = now.Add(tick)
					for _, send := range entry.Step(now, Ticked{}).Sends {
						messages++
						bytes += proto.Size(send.Gossip)
					}
				}
			}
			seconds := float64(sequence) * 0.2
			b.ReportMetric(float64(bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(messages)/seconds, "messages/s")
		})
	}
}

// BenchmarkFalseAlarms reports how often nine entries suspect or give up one of 22 live
// upstreams, per hour of simulated time, while announcements and messages are lost or delayed
// by up to a second.
func BenchmarkFalseAlarms(b *testing.B) {
	for _, lossRate := range []float64{0.01, 0.1, 0.3} {
		b.Run(fmt.Sprint("loss ", lossRate), func(b *testing.B) {
			f := newFleet(9, 1)
			f.lossRate = lossRate
			for b.Loop() {
				for i := range 22 {
					name := fmt.Sprint("u", i)
					if f.upstreams[name] == nil {
						f.upstreams[name] = &upstream{incarnation: 1, alive: true, entry: i % 9}
					}
					f.announce(name, f.upstreams[name])
				}
				f.run(200 * time.Millisecond)
			}
			hours := f.now.Sub(time.Unix(1000, 0)).Hours()
			b.ReportMetric(float64(f.suspected)/hours, "suspicions/hour")
			b.ReportMetric(float64(f.givenUp)/hours, "given-up/hour")
		})
	}
}
