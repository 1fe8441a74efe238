package governor

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/allocator"
	"github.com/rosecroft/rosecroft/src/granter"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

// limitLogInterval is the time between two log lines on the limit of an account in use.
const limitLogInterval = time.Second

// limits grants entries what they may admit of accounts' limits, and keeps what is granted in the log.
type limits struct {
	coordinator *coordinator
	window      allocator.Window
	ledger      *granter.Ledger
	loggedAt    time.Time
}

// startLeadership takes over what earlier leaders have granted. A leader is confirmed once it has applied a record of
// its own term, and so all records of theirs.
func (l *limits) startLeadership(now time.Time) {
	c := l.coordinator
	l.window = allocator.NewWindow(c.settings.Quota)
	l.ledger = &granter.Ledger{
		Window: l.window.Length,
		Lease:  c.settings.RevocationTimeout,
		Since:  now,
	}
	for account, m := range c.state.bounds {
		l.ledger.Inherit(account, decodeBound(m))
	}
}

// limited returns the accounts that have a limit.
func (l *limits) limited() []*matcher.Account {
	if l.coordinator.configuration == nil {
		return nil
	}
	var accounts []*matcher.Account
	for i := range l.coordinator.configuration.Accounts {
		if account := &l.coordinator.configuration.Accounts[i]; account.Rate > 0 {
			accounts = append(accounts, account)
		}
	}
	return accounts
}

// report records the grants in an entry's poll, and adds what it may admit to the response. An entry that reports to
// another leadership may leave out what that one knows; it reports all with its next poll.
func (l *limits) report(now time.Time, poll *messages.EntryPoll, response *messages.EntryPollResponse) {
	accounts := l.limited()
	if len(accounts) == 0 {
		return
	}
	response.GrantStamp = now.UnixNano()
	stamp := poll.GetGrantStamp()
	if poll.GetLeadership() != l.coordinator.quarantines.leadership {
		if !poll.GetGrantsComplete() {
			return
		}
		stamp = 0
	}
	entry := units.Instance(poll.GetEntry())
	response.Granted = l.ledger.Record(now, granter.Report{
		Entry:       entry,
		Incarnation: units.Incarnation(poll.GetIncarnation()),
		Number:      poll.GetNumber(),
		Stamp:       stamp,
		Uses:        decodeUses(poll.GetGrants()),
	})
	if !response.GetGranted() {
		return
	}
	for _, account := range accounts {
		share := l.coordinator.allocator.DemandShare(now, entry, account.Name)
		ceiling, changed := l.ledger.Grant(now, entry, account.Name, l.window.Allowed(account), share)
		if changed {
			response.Grants = append(response.Grants, &messages.AccountGrant{
				Account: string(account.Name),
				Ceiling: ceiling,
			})
		}
	}
}

// tick proposes the bounds that are due, and logs accounts in use.
func (l *limits) tick(now time.Time) error {
	l.logUse(now)
	accounts := l.limited()
	allowed := make(map[units.Account]float64, len(accounts))
	for _, account := range accounts {
		allowed[account.Name] = l.window.Allowed(account)
	}
	bounds := l.ledger.Propose(now, allowed)
	if len(bounds) == 0 {
		return nil
	}
	m := &messages.AccountBounds{Leadership: l.coordinator.quarantines.leadership}
	for _, account := range slices.Sorted(maps.Keys(bounds)) {
		m.Bounds = append(m.Bounds, encodeBound(account, bounds[account]))
	}
	return l.coordinator.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_AccountBounds{AccountBounds: m},
		},
	})
}

// committed records that bounds are in the log.
func (l *limits) committed(m *messages.AccountBounds) {
	if m != nil && l.ledger != nil && m.GetLeadership() == l.coordinator.quarantines.leadership {
		l.ledger.Commit()
	}
}

// logUse logs what the leader believes of accounts that use more than half of what they may at once.
func (l *limits) logUse(now time.Time) {
	if now.Sub(l.loggedAt) < limitLogInterval {
		return
	}
	l.loggedAt = now
	c := l.coordinator
	for _, account := range l.limited() {
		figures, known := c.allocator.Figures(now, account)
		if !known || figures.Level > figures.Burst/2 {
			continue
		}
		granted := l.ledger.Figures(now, account.Name)
		c.log.Info().
			Str("account", string(account.Name)).
			Float64("level", figures.Level).
			Float64("burst", figures.Burst).
			Float64("demand", figures.Demand).
			Float64("limit", account.Rate).
			Int("entries", figures.Entries).
			Int("silent", figures.Silent).
			Float64("allowed", l.window.Allowed(account)).
			Float64("used", granted.Used).
			Float64("granted", granted.Granted).
			Float64("inherited", granted.Inherited).
			Float64("bound", granted.Bound).
			Msg("account-limit")
	}
}

func decodeUses(grants []*messages.AccountGrant) map[units.Account]granter.Use {
	uses := make(map[units.Account]granter.Use, len(grants))
	for _, m := range grants {
		uses[units.Account(m.GetAccount())] = granter.Use{
			Admitted: m.GetAdmitted(),
			Refunded: m.GetRefunded(),
			Ceiling:  m.GetCeiling(),
			Wanted:   m.GetWanted(),
		}
	}
	return uses
}

func encodeBound(account units.Account, bound granter.Bound) *messages.AccountBound {
	m := &messages.AccountBound{
		Account:   string(account),
		Remaining: bound.Remaining,
	}
	for _, charge := range bound.Used {
		m.Tokens = append(m.Tokens, charge.Tokens)
		m.ExpiresNs = append(m.ExpiresNs, int64(charge.Expires))
	}
	return m
}

func decodeBound(m *messages.AccountBound) granter.Bound {
	bound := granter.Bound{Remaining: m.GetRemaining()}
	for i, tokens := range m.GetTokens() {
		bound.Used = append(bound.Used, granter.Charge{
			Tokens:  tokens,
			Expires: time.Duration(m.GetExpiresNs()[i]),
		})
	}
	return bound
}

// applyBounds replaces the bounds of the accounts that a command states.
func (s *state) applyBounds(next *messages.AccountBounds) {
	if s.bounds == nil {
		s.bounds = make(map[units.Account]*messages.AccountBound)
	}
	for _, m := range next.GetBounds() {
		s.bounds[units.Account(m.GetAccount())] = m
	}
}

// boundList returns the bounds of all accounts, sorted by account.
func (s *state) boundList() *messages.AccountBounds {
	m := &messages.AccountBounds{}
	for _, account := range slices.Sorted(maps.Keys(s.bounds)) {
		m.Bounds = append(m.Bounds, s.bounds[account])
	}
	return m
}

// restoreBounds replaces the bounds by those of a snapshot, which is later in the log.
func (s *state) restoreBounds(encoded []byte) error {
	all := &messages.AccountBounds{}
	if err := proto.Unmarshal(encoded, all); err != nil {
		return fmt.Errorf("decode a snapshot's bounds of accounts: %w; run the same version on every control instance", err)
	}
	s.bounds = nil
	s.applyBounds(all)
	return nil
}
