package governor

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// reaches holds which services entries are partitioned from. Only the coordinator's goroutine uses
// it.
type reaches struct {
	coordinator *coordinator
	// partitioned holds the services of each entry that is partitioned from any.
	partitioned map[units.Instance][]units.Service
}

// startLeadership starts with nothing reported by entries.
func (r *reaches) startLeadership() { r.partitioned = make(map[units.Instance][]units.Service) }

// record stores which services an entry is partitioned from.
func (r *reaches) record(now time.Time, entry units.Instance, poll *messages.EntryPoll) {
	var services []units.Service
	for _, reach := range poll.GetUnreached() {
		if reach.GetPartitioned() {
			services = append(services, units.Service(reach.GetService()))
		}
	}
	slices.Sort(services)
	before := r.partitioned[entry]
	if slices.Equal(before, services) {
		return
	}
	if len(services) == 0 {
		delete(r.partitioned, entry)
	} else {
		r.partitioned[entry] = services
	}
	r.log(now, entry, before, services)
}

// log logs that the services have changed that an entry is partitioned from.
func (r *reaches) log(now time.Time, entry units.Instance, before, after []units.Service) {
	for _, service := range before {
		if !slices.Contains(after, service) {
			r.logService(now, entry, service, "entry-reaches-service")
		}
	}
	for _, service := range after {
		if !slices.Contains(before, service) {
			r.logService(now, entry, service, "entry-partitioned")
		}
	}
}

func (r *reaches) logService(now time.Time, entry units.Instance, service units.Service, message string) {
	r.coordinator.log.Info().
		Str("entry", string(entry)).
		Str("service", string(service)).
		Int("partitioned", r.countPartitioned(service)).
		Int("entries", r.coordinator.allocator.CountEntries(now)).
		Msg(message)
}

// countPartitioned returns how many entries are partitioned from a service.
func (r *reaches) countPartitioned(service units.Service) int {
	count := 0
	for entry, services := range r.partitioned {
		if r.coordinator.allocator.HasEntry(entry) && slices.Contains(services, service) {
			count++
		}
	}
	return count
}
