package rationer

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// statementTTL is how long after the last statement answers of the service must go on without
	// another one until it is no longer brittle. Without answers it may still be.
	statementTTL = 3 * time.Second
	// maxStatementAge is how long a service without answers counts as brittle.
	maxStatementAge = 30 * time.Second
	// reportTime is how long entries may take to report to a new leader: some polls.
	reportTime = time.Second
	// fullTTL is how long an upstream gets no calls after it rejected one or had some waiting: until
	// the polls of all entries show its load.
	fullTTL = 300 * time.Millisecond
	// capacityGrowth is how long after a rejection one slot more of an upstream is used again.
	capacityGrowth = 2 * time.Second
	// headroomFraction is the fraction of an upstream's slots that is left free, and minHeadroom the
	// least number: a new connection may hold a slot briefly.
	headroomFraction = 0.1
	minHeadroom      = 1
	// minSlotsPerEntry is how many slots there must be for each entry on average for slots to have
	// owners. With fewer, an entry's calls would often find none free though others are.
	minSlotsPerEntry = 2
	// positionMix is odd and its bits are spread, so that the slots of similar ids are far apart.
	positionMix = 0x9e3779b97f4a7c15
)

// Statement is what an answer states of its upstream.
type Statement struct {
	// Brittle is set where the upstream falls over if it has to reject more than MaxRejections calls
	// in a second for want of room.
	Brittle       bool
	MaxRejections float64
}

// Upstream is an upstream to choose from.
type Upstream struct {
	ID    units.IncarnationID
	Slots int
	// Own is the number of this entry's calls there, Calls the estimated number of all entries'.
	Own   int64
	Calls int64
}

// Load is what an entry knows of a service's load.
type Load struct {
	// Age is how old the calls of other entries may be.
	Age time.Duration
	// CallTime is how long a call takes at an upstream, 0 if unknown.
	CallTime time.Duration
	// Entries is the number of entries.
	Entries int
}

// Service is what the fleet knows of a brittle service.
type Service struct {
	Name          units.Service
	MaxRejections float64
	// StatedAt is when an upstream has last stated that it is brittle, and AnsweredAt when any of the
	// service has last answered.
	StatedAt   time.Time
	AnsweredAt time.Time
	// CallRate is the rate of the calls of all entries, 0 if unknown.
	CallRate units.CallRate
	// Share is the entry's part of the service, empty if it has none yet.
	Share Share
}

// Share is an interval of the line from 0 to 1.
type Share struct {
	From, To float64
}

// Full is an upstream that was found full: it rejected a call, or had some waiting.
type Full struct {
	ID units.IncarnationID
	At time.Time
	// Capacity is the number of calls that it had when it rejected one, 0 if it rejected none.
	Capacity int
	// RejectedAt is when it last rejected a call.
	RejectedAt time.Time
}

// Rationer holds which services are brittle; it is safe for concurrent use. The zero value is ready
// for use.
type Rationer struct {
	// Random returns a number in [0, 1); nil selects the process's own source.
	Random func() float64

	// count is the number of services that were stated to be brittle, which lets callers return early.
	count atomic.Int64

	mu       sync.Mutex
	services map[units.Service]*service
}

// service is what this entry knows of one service.
type service struct {
	// stated holds the statements of upstreams to this entry, and answeredAt is when any of them has
	// last answered it.
	stated     map[units.IncarnationID]stated
	answeredAt time.Time
	// fleet is what a leader said last, and omittedSince when the first response after it did not name
	// the service, zero if none did.
	fleet        Service
	omittedSince time.Time
	// share is the last share of this entry. It is used until there is another one, also without a
	// leader, as the shares of all entries do not overlap.
	share Share
	full  map[units.IncarnationID]Full
	// found are the upstreams that this entry has found full since its last report.
	found map[units.IncarnationID]bool
	// loads are the numbers of calls that upstreams have stated in their last answers.
	loads   map[units.IncarnationID]int
	targets targets
}

type stated struct {
	maxRejections float64
	at            time.Time
}

// RecordAnswer records what an answer states of its upstream. An answer without a statement ends
// earlier ones if its call was sent after them.
func (r *Rationer) RecordAnswer(now, sentAt time.Time, name units.Service, id units.IncarnationID, s Statement) {
	if !s.Brittle && r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Brittle {
		r.service(name)
	}
	known := r.services[name]
	if known == nil {
		return
	}
	known.answeredAt = now
	if s.Brittle {
		known.stated[id] = stated{
			maxRejections: s.MaxRejections,
			at:            now,
		}
	} else if sentAt.After(known.stated[id].at) {
		delete(known.stated, id)
	}
}

// IsBrittle reports whether the service is still brittle by its last statement.
func (s Service) IsBrittle(now time.Time) bool {
	return !s.StatedAt.IsZero() && now.Sub(s.StatedAt) < maxStatementAge && s.AnsweredAt.Sub(s.StatedAt) < statementTTL
}

// RecordLoad records how many calls an upstream has, and how many of these wait.
func (r *Rationer) RecordLoad(now time.Time, name units.Service, id units.IncarnationID, calls, waiting int) {
	if r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		return
	}
	s.loads[id] = calls
	if waiting > 0 {
		full := s.full[id]
		full.ID, full.At = id, now
		s.full[id], s.found[id] = full, true
	}
}

// RecordRejected records that an upstream has rejected a call for want of room.
func (r *Rationer) RecordRejected(now time.Time, name units.Service, id units.IncarnationID) {
	if r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		return
	}
	full := s.full[id]
	full.ID, full.At, full.RejectedAt = id, now, now
	if calls := s.loads[id]; calls > 0 && (full.Capacity == 0 || calls < full.Capacity) {
		full.Capacity = calls
	}
	s.full[id], s.found[id] = full, true
}

// ApplyFleet applies what the fleet knows.
func (r *Rationer) ApplyFleet(now time.Time, services []Service, full []Full) {
	if len(services) == 0 && r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	named := make(map[units.Service]bool, len(services))
	for _, fleet := range services {
		if r.services[fleet.Name] == nil && !fleet.IsBrittle(now) {
			continue
		}
		s := r.service(fleet.Name)
		s.fleet, s.omittedSince = fleet, time.Time{}
		named[fleet.Name] = true
		if !fleet.Share.isEmpty() {
			s.share = fleet.Share
		}
	}
	for _, s := range r.services {
		for _, f := range full {
			s.full[f.ID] = s.full[f.ID].merge(f)
		}
	}
	for name, s := range r.services {
		if !named[name] {
			s.recordOmission(now)
		}
		maps.DeleteFunc(s.stated, func(_ units.IncarnationID, st stated) bool { return !s.isValid(now, st) })
		maps.DeleteFunc(s.full, func(_ units.IncarnationID, f Full) bool { return f.isOver(now) })
		if _, brittle := s.maxRejections(now); !brittle {
			delete(r.services, name)
		}
	}
	r.count.Store(int64(len(r.services)))
}

// recordOmission records that a response does not name the service: once all entries had the time to report
// to a new leader, none of them has had a statement.
func (s *service) recordOmission(now time.Time) {
	if s.omittedSince.IsZero() {
		s.omittedSince = now
	}
	if now.Sub(s.omittedSince) >= reportTime {
		s.fleet = Service{}
	}
}

// Report returns what upstreams of brittle services have stated to this entry, if anything, and the
// upstreams that it has found full since the last report.
func (r *Rationer) Report(now time.Time) (services []Service, full []Full) {
	if r.count.Load() == 0 {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		last, _ := s.lastStated(now)
		last.Name, last.AnsweredAt = name, s.answeredAt
		services = append(services, last)
		for id := range s.found {
			full = append(full, s.full[id])
		}
		clear(s.found)
	}
	return services, full
}

// merge returns what two reports of one upstream say together.
func (f Full) merge(other Full) Full {
	if other.At.Before(f.At) {
		f, other = other, f
	}
	merged := other
	if f.RejectedAt.After(merged.RejectedAt) {
		merged.RejectedAt = f.RejectedAt
	}
	if f.Capacity > 0 && (merged.Capacity == 0 || f.Capacity < merged.Capacity) {
		merged.Capacity = f.Capacity
	}
	return merged
}

// isFull reports whether the upstream must get no calls.
func (f Full) isFull(now time.Time) bool { return !f.At.IsZero() && now.Sub(f.At) < fullTTL }

// slots returns how many of an upstream's slots count: its memory may hold fewer calls.
func (f Full) slots(now time.Time, slots int) int {
	if f.Capacity == 0 {
		return slots
	}
	return min(slots, f.Capacity+int(now.Sub(f.RejectedAt)/capacityGrowth))
}

// maxCapacityAge is how long after its last rejection an upstream's capacity counts.
const maxCapacityAge = 30 * time.Second

// isOver reports whether nothing is left of what was found.
func (f Full) isOver(now time.Time) bool {
	return !f.isFull(now) && (f.Capacity == 0 || now.Sub(f.RejectedAt) >= maxCapacityAge)
}

// isValid reports whether a statement still counts.
func (s *service) isValid(now time.Time, st stated) bool {
	last := Service{
		StatedAt:   st.at,
		AnsweredAt: s.lastAnswer(),
	}
	return last.IsBrittle(now)
}

// lastAnswer returns when an upstream of the service has last answered any entry.
func (s *service) lastAnswer() time.Time {
	if s.fleet.AnsweredAt.After(s.answeredAt) {
		return s.fleet.AnsweredAt
	}
	return s.answeredAt
}

// lastStated returns what upstreams have lately stated to this entry.
func (s *service) lastStated(now time.Time) (last Service, found bool) {
	for _, st := range s.stated {
		if !s.isValid(now, st) {
			continue
		}
		if !found || st.maxRejections < last.MaxRejections {
			last.MaxRejections = st.maxRejections
		}
		if st.at.After(last.StatedAt) {
			last.StatedAt = st.at
		}
		found = true
	}
	return last, found
}

// Brittle reports whether a service's upstreams fall over when they have to reject more than the
// returned number of calls in a second.
func (r *Rationer) Brittle(now time.Time, name units.Service) (maxRejections float64, brittle bool) {
	if r.count.Load() == 0 {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		return 0, false
	}
	return s.maxRejections(now)
}

// maxRejections returns the lowest number that is stated.
func (s *service) maxRejections(now time.Time) (lowest float64, brittle bool) {
	last, brittle := s.lastStated(now)
	lowest = last.MaxRejections
	fleet := s.fleet
	fleet.AnsweredAt = s.lastAnswer()
	if !fleet.IsBrittle(now) {
		return lowest, brittle
	}
	if !brittle || s.fleet.MaxRejections < lowest {
		lowest = s.fleet.MaxRejections
	}
	return lowest, true
}

// Select returns the indices of the upstreams of a service that a call may go to now, none if it must
// not be sent.
func (r *Rationer) Select(now time.Time, name units.Service, upstreams []Upstream, load Load) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		return all(len(upstreams))
	}
	maxRejections, brittle := s.maxRejections(now)
	if !brittle {
		return all(len(upstreams))
	}
	slots := 0
	for i := range upstreams {
		upstreams[i].Slots = s.full[upstreams[i].ID].slots(now, upstreams[i].Slots)
		slots += usableSlots(upstreams[i])
	}
	if !s.share.isEmpty() && slots >= minSlotsPerEntry*load.Entries {
		return s.selectOwned(now, upstreams)
	}
	return s.selectByTarget(now, upstreams, load, maxRejections, r.random)
}

// selectOwned returns the upstreams at which this entry has a free slot of its own.
func (s *service) selectOwned(now time.Time, upstreams []Upstream) []int {
	var free []int
	for i, u := range upstreams {
		if !s.full[u.ID].isFull(now) && u.Calls < int64(u.Slots) && u.Own < int64(s.share.slots(u)) {
			free = append(free, i)
		}
	}
	return free
}

// usableSlots returns how many slots of an upstream calls may use.
func usableSlots(u Upstream) int {
	return max(1, u.Slots-max(minHeadroom, int(math.Ceil(headroomFraction*float64(u.Slots)))))
}

func (sh Share) isEmpty() bool { return sh.To <= sh.From }

// slots returns how many slots of an upstream belong to a share. The slots of each upstream lie evenly
// on the line, those of different upstreams shifted by their ids.
func (sh Share) slots(u Upstream) int {
	const bits = 53
	count := float64(usableSlots(u))
	shift := float64(uint64(u.ID)*positionMix>>(64-bits)) / (1 << bits)
	return int(math.Ceil(sh.To*count-shift)) - int(math.Ceil(sh.From*count-shift))
}

// selectByTarget returns one upstream, chosen by how many calls it can take until the next polls, or
// none: all entries together send as many calls as keep the upstreams at their target loads.
func (s *service) selectByTarget(now time.Time, upstreams []Upstream, load Load, maxRejections float64, random func() float64) []int {
	turnover := 0.0
	if load.CallTime > 0 {
		turnover = load.Age.Seconds() / load.CallTime.Seconds()
	}
	rooms := make([]float64, len(upstreams))
	total := 0.0
	for i, u := range upstreams {
		if s.full[u.ID].isFull(now) {
			continue
		}
		target := s.targets.of(u.Slots, maxRejections, load.CallTime)
		rooms[i] = max(0, target-float64(u.Calls)) + turnover*min(target, float64(u.Calls))
		total += rooms[i]
	}
	expected := float64(s.fleet.CallRate) * load.Age.Seconds()
	if total <= 0 || expected > 0 && random() >= total/expected {
		return nil
	}
	return []int{pick(rooms, total*random())}
}

// pick returns the index at which the sum of the rooms exceeds a value.
func pick(rooms []float64, value float64) int {
	last := 0
	for i, room := range rooms {
		if room <= 0 {
			continue
		}
		last = i
		if value < room {
			return i
		}
		value -= room
	}
	return last
}

func all(count int) []int {
	indices := make([]int, count)
	for i := range indices {
		indices[i] = i
	}
	return indices
}

func (r *Rationer) service(name units.Service) *service {
	s := r.services[name]
	if s == nil {
		if r.services == nil {
			r.services = make(map[units.Service]*service)
		}
		s = &service{
			stated: make(map[units.IncarnationID]stated),
			full:   make(map[units.IncarnationID]Full),
			found:  make(map[units.IncarnationID]bool),
			loads:  make(map[units.IncarnationID]int),
		}
		r.services[name] = s
		r.count.Store(int64(len(r.services)))
	}
	return s
}

func (r *Rationer) random() float64 {
	if r.Random != nil {
		return r.Random()
	}
	return rand.Float64()
}
