package governor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// state is the result of applying the replicated log.
type state struct {
	configuration *messages.Declaration
	ledger        *aggregator.Ledger
	// rollouts holds the last roll-out of each service.
	rollouts map[units.Service]*messages.Rollout
	// quarantines holds the requests that are or were quarantined; quarantineNumber increases
	// with each change.
	quarantines      map[units.Fingerprint]*messages.Quarantine
	quarantineNumber uint64
	// reclaimHistories holds what has been observed of the reclaims of each service's upstreams.
	reclaimHistories map[units.Service]*messages.ReclaimHistory
	// bounds holds what may count against the limit of each account.
	bounds map[units.Account]*messages.AccountBound
	// releases holds the software versions of each service that entries may know of.
	releases map[units.Service][]units.Release
	// departures holds the upstreams that have lately begun to leave or have gone, and departedUntil when the last one
	// did, in nanoseconds of Unix time.
	departures    map[units.Upstream]*messages.Departure
	departedUntil int64
	// crashEvidence is the evidence against requests and parts of prompts that have crashed upstreams.
	crashEvidence *messages.CrashEvidence
}

// apply applies one committed command. The highest version of the configuration wins: a lower
// one that is committed later changes nothing, though the log holds both.
func (s *state) apply(command *messages.Command) {
	switch change := command.GetChange().(type) {
	case *messages.Command_Declaration:
		if change.Declaration.GetVersion() > s.configuration.GetVersion() {
			s.configuration = change.Declaration
		}
	case *messages.Command_UsageReport:
		s.ledger.Commit(reportFrom(change.UsageReport))
	case *messages.Command_Rollout:
		s.applyRollout(change.Rollout)
	case *messages.Command_Quarantine:
		s.applyQuarantine(change.Quarantine)
	case *messages.Command_ReclaimHistory:
		s.applyReclaimHistory(change.ReclaimHistory)
	case *messages.Command_AccountBounds:
		s.applyBounds(change.AccountBounds)
	case *messages.Command_ServiceReleases:
		s.applyReleases(change.ServiceReleases)
	case *messages.Command_Departures:
		s.applyDepartures(change.Departures.GetDepartures())
	case *messages.Command_CrashEvidence:
		s.crashEvidence = change.CrashEvidence
	}
}

// applyQuarantine applies the next state of a request. Where there are too many, the
// quarantine that ends first is removed.
func (s *state) applyQuarantine(next *messages.Quarantine) {
	if s.quarantines == nil {
		s.quarantines = make(map[units.Fingerprint]*messages.Quarantine)
	}
	s.quarantineNumber++
	request := units.Fingerprint(next.GetRequest())
	if next.GetReleased() {
		delete(s.quarantines, request)
		return
	}
	s.quarantines[request] = next
	if len(s.quarantines) <= maxQuarantines {
		return
	}
	earliest := slices.MinFunc(s.quarantineList().GetRequests(), func(a, b *messages.Quarantine) int {
		return cmp.Or(cmp.Compare(a.GetUntilNs(), b.GetUntilNs()), cmp.Compare(a.GetRequest(), b.GetRequest()))
	})
	delete(s.quarantines, units.Fingerprint(earliest.GetRequest()))
}

// quarantineList returns all requests that are or were quarantined, sorted by fingerprint.
func (s *state) quarantineList() *messages.Quarantines {
	m := &messages.Quarantines{Number: s.quarantineNumber}
	for _, request := range slices.Sorted(maps.Keys(s.quarantines)) {
		m.Requests = append(m.Requests, s.quarantines[request])
	}
	return m
}

// applyRollout applies the next state of a roll-out. Of two concurrent orders the first one
// wins, and a roll-out that has ended is not restarted.
func (s *state) applyRollout(next *messages.Rollout) {
	if s.rollouts == nil {
		s.rollouts = make(map[units.Service]*messages.Rollout)
	}
	service := units.Service(next.GetService())
	last := s.rollouts[service]
	running := last.GetState() == messages.RolloutState_ROLLOUT_STATE_RUNNING
	begins := !running && next.GetNumber() == last.GetNumber()+1
	ends := running && next.GetNumber() == last.GetNumber() && next.GetState() != messages.RolloutState_ROLLOUT_STATE_RUNNING
	if begins || ends {
		s.rollouts[service] = next
	}
}

func reportFrom(m *messages.UsageReport) aggregator.Report {
	r := aggregator.Report{
		Window: aggregator.Window(m.GetWindow()),
		Counts: make(map[units.Account]int64),
	}
	for account, calls := range m.GetCounts() {
		r.Counts[units.Account(account)] = calls
	}
	return r
}

func reportMessage(r aggregator.Report) *messages.UsageReport {
	m := &messages.UsageReport{
		Window: int64(r.Window),
		Counts: make(map[string]int64),
	}
	for account, calls := range r.Counts {
		m.Counts[string(account)] = calls
	}
	return m
}

// The names of the entries of a snapshot; those that end with a slash are prefixes.
const (
	declarationKey   = "declaration"
	usageKeyPrefix   = "usage/"
	rolloutKeyPrefix = "rollout/"
	quarantinesKey   = "quarantines"
	boundsKey        = "account-bounds"
	reclaimKeyPrefix = "reclaims/"
	releaseKeyPrefix = "releases/"
	departuresKey    = "departures"
	crashEvidenceKey = "crash-evidence"
)

// snapshot encodes the state.
func (s *state) snapshot() ([]byte, error) {
	states := &messages.MachineStates{States: make(map[string][]byte)}
	for name, message := range s.snapshotEntries() {
		content, err := proto.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("take a snapshot of %s: %w", name, err)
		}
		states.States[name] = content
	}
	return proto.Marshal(states)
}

// snapshotEntries returns the parts of the state by their names.
func (s *state) snapshotEntries() map[string]proto.Message {
	entries := make(map[string]proto.Message)
	if s.configuration != nil {
		entries[declarationKey] = s.configuration
	}
	for _, r := range s.ledger.Committed() {
		entries[fmt.Sprintf("%s%020d", usageKeyPrefix, r.Window)] = reportMessage(r)
	}
	for service, rollout := range s.rollouts {
		entries[rolloutKeyPrefix+string(service)] = rollout
	}
	if s.quarantineNumber > 0 {
		entries[quarantinesKey] = s.quarantineList()
	}
	for service, history := range s.reclaimHistories {
		entries[reclaimKeyPrefix+string(service)] = history
	}
	if len(s.bounds) > 0 {
		entries[boundsKey] = s.boundList()
	}
	for service, releases := range s.releases {
		entries[releaseKeyPrefix+string(service)] = encodeReleases(service, releases)
	}
	if len(s.departures) > 0 {
		entries[departuresKey] = s.departureList()
	}
	if s.crashEvidence != nil {
		entries[crashEvidenceKey] = s.crashEvidence
	}
	return entries
}

// restore merges the state of a snapshot, where it is later, into this one. Histories of reclaims and versions have no
// number that tells which is later; the snapshot's replace those that are known.
func (s *state) restore(content []byte) error {
	states := &messages.MachineStates{}
	if err := proto.Unmarshal(content, states); err != nil {
		return fmt.Errorf("decode a snapshot: %w; run the same version on every control instance", err)
	}
	s.releases = nil
	for name, encoded := range states.GetStates() {
		if err := s.restoreEntry(name, encoded); err != nil {
			return err
		}
	}
	if err := s.restoreReclaimHistories(states); err != nil {
		return err
	}
	return s.restoreUsage(states)
}

// restoreEntry restores one entry of a snapshot; those that it does not know are of a later version.
func (s *state) restoreEntry(name string, encoded []byte) error {
	switch {
	case name == declarationKey:
		d := &messages.Declaration{}
		if err := proto.Unmarshal(encoded, d); err != nil {
			return fmt.Errorf("decode a snapshot's configuration: %w", err)
		}
		s.apply(&messages.Command{Change: &messages.Command_Declaration{Declaration: d}})
	case name == quarantinesKey:
		return s.restoreQuarantines(encoded)
	case name == boundsKey:
		return s.restoreBounds(encoded)
	case name == departuresKey:
		return s.restoreDepartures(encoded)
	case name == crashEvidenceKey:
		return s.restoreCrashEvidence(encoded)
	case strings.HasPrefix(name, rolloutKeyPrefix):
		return s.restoreRollout(encoded)
	case strings.HasPrefix(name, releaseKeyPrefix):
		return s.restoreReleases(encoded)
	}
	return nil
}

// restoreQuarantines restores the quarantines unless later ones are known.
func (s *state) restoreQuarantines(encoded []byte) error {
	all := &messages.Quarantines{}
	if err := proto.Unmarshal(encoded, all); err != nil {
		return fmt.Errorf("decode a snapshot's quarantines: %w", err)
	}
	if all.GetNumber() <= s.quarantineNumber {
		return nil
	}
	s.quarantineNumber = all.GetNumber()
	s.quarantines = make(map[units.Fingerprint]*messages.Quarantine, len(all.GetRequests()))
	for _, m := range all.GetRequests() {
		s.quarantines[units.Fingerprint(m.GetRequest())] = m
	}
	return nil
}

// restoreRollout restores a roll-out unless a later state of it, or a later roll-out, is
// known.
func (s *state) restoreRollout(encoded []byte) error {
	rollout := &messages.Rollout{}
	if err := proto.Unmarshal(encoded, rollout); err != nil {
		return fmt.Errorf("decode a snapshot's roll-out: %w", err)
	}
	if s.rollouts == nil {
		s.rollouts = make(map[units.Service]*messages.Rollout)
	}
	service := units.Service(rollout.GetService())
	known := s.rollouts[service]
	if rollout.GetNumber() > known.GetNumber() || rollout.GetNumber() == known.GetNumber() && rollout.GetState() > known.GetState() {
		s.rollouts[service] = rollout
	}
	return nil
}

// restoreUsage restores the reports in the order of their windows.
func (s *state) restoreUsage(states *messages.MachineStates) error {
	for _, name := range slices.Sorted(maps.Keys(states.GetStates())) {
		if !strings.HasPrefix(name, usageKeyPrefix) {
			continue
		}
		report := &messages.UsageReport{}
		if err := proto.Unmarshal(states.GetStates()[name], report); err != nil {
			return fmt.Errorf("decode a snapshot's usage: %w", err)
		}
		s.ledger.Commit(reportFrom(report))
	}
	return nil
}
