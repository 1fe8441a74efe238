package governor

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/tallier"
	"github.com/rosecroft/rosecroft/src/units"
)

// state is what the replicated log has built up.
type state struct {
	declaration *messages.Declaration
	ledger      *tallier.Ledger
}

// apply takes one committed command. The highest version wins: a lower one that
// is committed later changes nothing, and both are kept.
func (s *state) apply(command *messages.Command) {
	switch change := command.GetChange().(type) {
	case *messages.Command_Declaration:
		if change.Declaration.GetVersion() > s.declaration.GetVersion() {
			s.declaration = change.Declaration
		}
	case *messages.Command_UsageReport:
		s.ledger.Fix(reportFrom(change.UsageReport))
	}
}

func reportFrom(m *messages.UsageReport) tallier.Report {
	r := tallier.Report{
		Window: tallier.Window(m.GetWindow()),
		Counts: make(map[units.Account]int64),
	}
	for account, calls := range m.GetCounts() {
		r.Counts[units.Account(account)] = calls
	}
	return r
}

func reportMessage(r tallier.Report) *messages.UsageReport {
	m := &messages.UsageReport{
		Window: int64(r.Window),
		Counts: make(map[string]int64),
	}
	for account, calls := range r.Counts {
		m.Counts[string(account)] = calls
	}
	return m
}

// The names of the parts of a snapshot.
const (
	declarationPart = "declaration"
	usagePart       = "usage/"
)

// snapshot encodes the state.
func (s *state) snapshot() ([]byte, error) {
	states := &messages.MachineStates{States: make(map[string][]byte)}
	add := func(name string, message proto.Message) error {
		content, err := proto.Marshal(message)
		if err != nil {
			return fmt.Errorf("take a snapshot of %s: %w", name, err)
		}
		states.States[name] = content
		return nil
	}
	if s.declaration != nil {
		if err := add(declarationPart, s.declaration); err != nil {
			return nil, err
		}
	}
	for _, r := range s.ledger.Fixed() {
		if err := add(fmt.Sprintf("%s%020d", usagePart, r.Window), reportMessage(r)); err != nil {
			return nil, err
		}
	}
	return proto.Marshal(states)
}

// restore replaces the state by that of a snapshot.
func (s *state) restore(content []byte) error {
	states := &messages.MachineStates{}
	if err := proto.Unmarshal(content, states); err != nil {
		return fmt.Errorf("decode a snapshot: %w; run the same version on every control instance", err)
	}
	for name, part := range states.GetStates() {
		if name == declarationPart {
			d := &messages.Declaration{}
			if err := proto.Unmarshal(part, d); err != nil {
				return fmt.Errorf("decode a snapshot's configuration: %w", err)
			}
			s.apply(&messages.Command{Change: &messages.Command_Declaration{Declaration: d}})
		}
	}
	return s.restoreUsage(states)
}

// restoreUsage takes the reports in the order of their windows.
func (s *state) restoreUsage(states *messages.MachineStates) error {
	for _, name := range slices.Sorted(maps.Keys(states.GetStates())) {
		if !strings.HasPrefix(name, usagePart) {
			continue
		}
		report := &messages.UsageReport{}
		if err := proto.Unmarshal(states.GetStates()[name], report); err != nil {
			return fmt.Errorf("decode a snapshot's usage: %w", err)
		}
		s.ledger.Fix(reportFrom(report))
	}
	return nil
}
