package binder

import (
	"sync"
	"time"
)

// Number numbers the records of a journal, from 1.
type Number uint64

// Journal holds the streams that began at one entry, in that order; it is safe for concurrent use. Its
// exported field is set before use.
type Journal struct {
	// MaxRecords bounds the records that are kept; the oldest are dropped.
	MaxRecords int

	mu      sync.Mutex
	records []Record
	// dropped is the number of records before the first that is kept.
	dropped Number
	latest  map[StreamID]Number
	// uncertainUntil is when the last stream is forgotten of which the version is not certain.
	uncertainUntil time.Time
}

// Add adds a record and returns its number.
func (j *Journal) Add(now time.Time, record Record) Number {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.latest == nil {
		j.latest = make(map[StreamID]Number)
	}
	j.drop(now)
	if earlier := j.latest[record.Stream]; earlier != 0 && record.Stream.isRequest() {
		if known := j.records[earlier-j.dropped-1]; now.Before(known.Until) {
			record = record.merge(known.Origin, known.Until)
		}
	}
	if record.Origin == Unknown && record.Until.After(j.uncertainUntil) {
		j.uncertainUntil = record.Until
	}
	j.records = append(j.records, record)
	number := j.dropped + Number(len(j.records))
	j.latest[record.Stream] = number
	return number
}

// drop drops records that are no longer needed, and one more than there is room for.
func (j *Journal) drop(now time.Time) {
	count := 0
	for count < len(j.records) && (len(j.records)-count >= j.MaxRecords || !now.Before(j.records[count].Until)) {
		number := j.dropped + Number(count) + 1
		if stream := j.records[count].Stream; j.latest[stream] == number {
			delete(j.latest, stream)
		}
		count++
	}
	j.records = j.records[count:]
	j.dropped += Number(count)
}

// Find returns the origin of a stream that began at this entry, false if it is not known.
func (j *Journal) Find(now time.Time, stream StreamID) (Origin, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	number := j.latest[stream]
	if number == 0 {
		return Origin{}, false
	}
	record := j.records[number-j.dropped-1]
	return record.Origin, now.Before(record.Until)
}

// After returns the first records after a number that are still needed, at most maxRecords of them and the latest
// of each stream alone, and the number of the last one that was considered.
func (j *Journal) After(now time.Time, number Number, maxRecords int) ([]Record, Number) {
	j.mu.Lock()
	defer j.mu.Unlock()
	number = max(number, j.dropped)
	var found []Record
	for _, record := range j.records[min(int(number-j.dropped), len(j.records)):] {
		if len(found) == maxRecords {
			break
		}
		number++
		if now.Before(record.Until) && j.latest[record.Stream] == number {
			found = append(found, record)
		}
	}
	return found, number
}

// HoldsUncertain reports whether a stream is remembered of which the version is not certain.
func (j *Journal) HoldsUncertain(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return now.Before(j.uncertainUntil)
}

// Len returns the number of records.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.records)
}
