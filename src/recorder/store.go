package recorder

import (
	"container/list"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// recordBytes is the assumed size of a record without its answer.
const recordBytes = 512

// storedRecord is one record with its times. The record is replaced and never modified,
// since replies share it.
type storedRecord struct {
	record     *messages.CallRecord
	leaseUntil time.Time
	changedAt  time.Time
	// answerElement is the record's element in store.answers, nil without an answer.
	answerElement *list.Element
}

// store holds an owner's records.
type store struct {
	keepFor   time.Duration
	keepBytes int64

	records map[string]*storedRecord
	slots   map[Slot]map[string]*storedRecord
	// answers lists the records with an answer, the least recently changed first.
	answers *list.List
	bytes   int64
	slotFor func(key []byte) Slot
}

func newStore(slotFor func(key []byte) Slot) *store {
	return &store{
		records: make(map[string]*storedRecord),
		slots:   make(map[Slot]map[string]*storedRecord),
		answers: list.New(),
		slotFor: slotFor,
	}
}

func (s *store) get(key []byte) *storedRecord { return s.records[string(key)] }

// isFull reports whether a new record would not fit even if all answers were evicted.
func (s *store) isFull() bool {
	return int64(len(s.records)+1)*recordBytes > s.keepBytes
}

// put adds or replaces a record.
func (s *store) put(now time.Time, record *messages.CallRecord) {
	key := string(record.GetKey())
	h := s.records[key]
	if h == nil {
		h = s.add(key, record)
	} else {
		s.subtract(h)
	}
	h.record = record
	h.changedAt = now.Add(-time.Duration(record.GetAgeMs()) * time.Millisecond)
	h.leaseUntil = now.Add(time.Duration(record.GetLeaseMs()) * time.Millisecond)
	s.bytes += sizeOf(record)
	if record.GetAnswer() != nil {
		h.answerElement = s.answers.PushBack(h)
	}
	s.evictAnswers()
}

func (s *store) add(key string, record *messages.CallRecord) *storedRecord {
	h := &storedRecord{}
	s.records[key] = h
	slot := s.slotFor(record.GetKey())
	if s.slots[slot] == nil {
		s.slots[slot] = make(map[string]*storedRecord)
	}
	s.slots[slot][key] = h
	return h
}

// subtract removes a record from the byte count and from the list of answers.
func (s *store) subtract(h *storedRecord) {
	s.bytes -= sizeOf(h.record)
	if h.answerElement != nil {
		s.answers.Remove(h.answerElement)
		h.answerElement = nil
	}
}

// evictAnswers removes the oldest answers until the store fits into keepBytes. The records
// stay until they expire: without the record of its key, a resend would run the call again.
func (s *store) evictAnswers() {
	for s.bytes > s.keepBytes && s.answers.Len() > 0 {
		h := s.answers.Front().Value.(*storedRecord)
		s.subtract(h)
		h.record = copyRecord(h.record)
		h.record.Answer = nil
		s.bytes += sizeOf(h.record)
	}
}

// expire removes the records of one slot that last changed, and whose runner's lease ended,
// at least keepFor ago.
func (s *store) expire(now time.Time, slot Slot) {
	for _, h := range s.slots[slot] {
		if now.Sub(h.changedAt) >= s.keepFor && now.Sub(h.leaseUntil) >= s.keepFor {
			s.remove(h)
		}
	}
}

func (s *store) remove(h *storedRecord) {
	key := string(h.record.GetKey())
	s.subtract(h)
	delete(s.records, key)
	delete(s.slots[s.slotFor(h.record.GetKey())], key)
}

// export returns a copy of the record with its current age and remaining lease, as it is
// sent to other entries.
func (s *storedRecord) export(now time.Time) *messages.CallRecord {
	exported := copyRecord(s.record)
	exported.AgeMs = now.Sub(s.changedAt).Milliseconds()
	exported.LeaseMs = max(0, s.leaseUntil.Sub(now).Milliseconds())
	return exported
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

// copyRecord returns a copy of the record that shares its answer.
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
