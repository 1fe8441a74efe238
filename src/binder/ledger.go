package binder

import (
	"math"
	"time"
)

// Ledger holds the streams of all entries. It is a state machine without a clock; its exported field is set
// before use.
type Ledger struct {
	// MaxStreams bounds the streams that are kept; those that are needed for the shortest time are
	// dropped.
	MaxStreams int

	origins []Origin
	indexes map[Origin]uint16
	// generations holds the origins of streams by the second in which they are forgotten.
	generations map[int64]map[StreamID]uint16
	count       int
}

// Record adds the records of an entry, and returns how many streams were dropped for want of room.
func (l *Ledger) Record(now time.Time, records []Record) (dropped int) {
	l.expire(now)
	if l.generations == nil {
		l.generations = make(map[int64]map[StreamID]uint16)
		l.indexes = make(map[Origin]uint16)
	}
	for _, record := range records {
		if !now.Before(record.Until) {
			continue
		}
		if record.Stream.isRequest() {
			if origin, until := l.find(now, record.Stream); until > 0 {
				record = record.merge(origin, time.Unix(until-1, 0))
			}
		}
		index := l.indexOf(record.Origin)
		second := record.Until.Unix() + 1
		generation := l.generations[second]
		if generation == nil {
			generation = make(map[StreamID]uint16)
			l.generations[second] = generation
		}
		before := len(generation)
		generation[record.Stream] = index
		l.count += len(generation) - before
		for l.count > l.MaxStreams && len(l.generations) > 1 {
			dropped += l.dropFirst()
		}
	}
	return dropped
}

// indexOf returns the index of an origin in origins.
func (l *Ledger) indexOf(origin Origin) uint16 {
	index, known := l.indexes[origin]
	if known {
		return index
	}
	if len(l.origins) > math.MaxUint16 {
		// More versions than any fleet runs at a time: those of long ago have filled the list.
		clear(l.generations)
		clear(l.indexes)
		l.origins, l.count = nil, 0
	}
	index = uint16(len(l.origins))
	l.origins = append(l.origins, origin)
	l.indexes[origin] = index
	return index
}

// dropFirst drops the streams that are forgotten first, and returns their number.
func (l *Ledger) dropFirst() int {
	first := int64(math.MaxInt64)
	for second := range l.generations {
		first = min(first, second)
	}
	dropped := len(l.generations[first])
	delete(l.generations, first)
	l.count -= dropped
	return dropped
}

// expire forgets the streams whose callers no longer try.
func (l *Ledger) expire(now time.Time) {
	for second, generation := range l.generations {
		if second <= now.Unix() {
			delete(l.generations, second)
			l.count -= len(generation)
		}
	}
}

// Find returns the origin of a stream, false if it is not known. Where records disagree, the one that is kept
// longest is the latest.
func (l *Ledger) Find(now time.Time, stream StreamID) (Origin, bool) {
	origin, until := l.find(now, stream)
	return origin, until > 0
}

// find returns the origin of a stream and the second in which it is forgotten, 0 if it is not known.
func (l *Ledger) find(now time.Time, stream StreamID) (Origin, int64) {
	found, until := Origin{}, int64(0)
	for second, generation := range l.generations {
		if index, known := generation[stream]; known && second > max(until, now.Unix()) {
			found, until = l.origins[index], second
		}
	}
	return found, until
}

// Len returns the number of streams.
func (l *Ledger) Len() int { return l.count }
