package recorder

import (
	"container/list"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// recordBytes is what a record without its answer is taken to need.
const recordBytes = 512

// held is one record with the times that go with it. The record is replaced,
// never changed, since replies share it.
type held struct {
	record     *messages.CallRecord
	leaseUntil time.Time
	changedAt  time.Time
	// place is the record's element among those with an answer, nil without one.
	place *list.Element
}

// store holds an owner's records.
type store struct {
	keepFor   time.Duration
	keepBytes int64

	records map[string]*held
	slots   map[Slot]map[string]*held
	// answers are the records with an answer, the longest unchanged first.
	answers *list.List
	bytes   int64
	slotFor func(key []byte) Slot
}

func newStore(slotFor func(key []byte) Slot) *store {
	return &store{
		records: make(map[string]*held),
		slots:   make(map[Slot]map[string]*held),
		answers: list.New(),
		slotFor: slotFor,
	}
}

func (s *store) get(key []byte) *held { return s.records[string(key)] }

// full reports whether there is no room for a new record even without the answers.
func (s *store) full() bool {
	return int64(len(s.records)+1)*recordBytes > s.keepBytes
}

// put replaces or adds a record.
func (s *store) put(now time.Time, record *messages.CallRecord) {
	key := string(record.GetKey())
	h := s.records[key]
	if h == nil {
		h = s.add(key, record)
	} else {
		s.discount(h)
	}
	h.record = record
	h.changedAt = now.Add(-time.Duration(record.GetAgeMs()) * time.Millisecond)
	h.leaseUntil = now.Add(time.Duration(record.GetLeaseMs()) * time.Millisecond)
	s.bytes += sizeOf(record)
	if record.GetAnswer() != nil {
		h.place = s.answers.PushBack(h)
	}
	s.shed()
}

func (s *store) add(key string, record *messages.CallRecord) *held {
	h := &held{}
	s.records[key] = h
	slot := s.slotFor(record.GetKey())
	if s.slots[slot] == nil {
		s.slots[slot] = make(map[string]*held)
	}
	s.slots[slot][key] = h
	return h
}

// discount takes a record out of the sums.
func (s *store) discount(h *held) {
	s.bytes -= sizeOf(h.record)
	if h.place != nil {
		s.answers.Remove(h.place)
		h.place = nil
	}
}

// shed drops the oldest answers until the rest fits. The record without its
// answer stays until its time is over: a key forgotten earlier would let a
// resend run the call again.
func (s *store) shed() {
	for s.bytes > s.keepBytes && s.answers.Len() > 0 {
		h := s.answers.Front().Value.(*held)
		s.discount(h)
		h.record = copyRecord(h.record)
		h.record.Answer = nil
		s.bytes += sizeOf(h.record)
	}
}

// expire drops the records of one slot that ended, or whose runner's lease
// ended, longer than keepFor ago.
func (s *store) expire(now time.Time, slot Slot) {
	for _, h := range s.slots[slot] {
		if now.Sub(h.changedAt) >= s.keepFor && now.Sub(h.leaseUntil) >= s.keepFor {
			s.drop(h)
		}
	}
}

func (s *store) drop(h *held) {
	key := string(h.record.GetKey())
	s.discount(h)
	delete(s.records, key)
	delete(s.slots[s.slotFor(h.record.GetKey())], key)
}

// show returns a record with its age and the time left of its lease.
func (h *held) show(now time.Time) *messages.CallRecord {
	shown := copyRecord(h.record)
	shown.AgeMs = now.Sub(h.changedAt).Milliseconds()
	shown.LeaseMs = max(0, h.leaseUntil.Sub(now).Milliseconds())
	return shown
}

func sizeOf(record *messages.CallRecord) int64 {
	size := int64(recordBytes)
	answer := record.GetAnswer()
	size += int64(len(answer.GetBody()))
	for _, field := range answer.GetHeader() {
		size += int64(len(field.GetName()))
		for _, value := range field.GetValues() {
			size += int64(len(value))
		}
	}
	return size
}

// copyRecord returns a copy that shares the answer.
func copyRecord(r *messages.CallRecord) *messages.CallRecord {
	return &messages.CallRecord{
		Key:               r.GetKey(),
		ContentHash:       r.GetContentHash(),
		Promised:          r.GetPromised(),
		Accepted:          r.GetAccepted(),
		State:             r.GetState(),
		Call:              r.GetCall(),
		Runner:            r.GetRunner(),
		RunnerIncarnation: r.GetRunnerIncarnation(),
		Attempt:           r.GetAttempt(),
		Upstream:          r.GetUpstream(),
		LeaseMs:           r.GetLeaseMs(),
		Answer:            r.GetAnswer(),
		AgeMs:             r.GetAgeMs(),
	}
}
