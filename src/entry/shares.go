package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/borrower"
	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/lender"
	"github.com/rosecroft/rosecroft/src/limiter"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// MethodShare asks an entry for shares of the limits that it lends.
const MethodShare = "limit/share"

const (
	renewInterval = 250 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	shareLease    = 2 * time.Second
	// smallView is the size up to which entries ask for all limits, so that each
	// has an equal share of an idle one; in a larger view they ask as calls come.
	smallView = 32
	// idleRenewal is how many renewals apart a limit without calls takes part; its
	// lease lasts for twice as long.
	idleRenewal = 4
)

// shares lends and borrows shares of limits; one lock guards both machines.
type shares struct {
	client  *connector.Client
	view    func() *messages.EntryView
	limiter *limiter.Limiter
	// renewals counts the rounds of renewal.
	renewals int

	mu       sync.Mutex
	lender   *lender.Lender
	borrower *borrower.Borrower
}

func newShares(client *connector.Client, view func() *messages.EntryView, self units.Instance, incarnation uint64, hold time.Duration) *shares {
	return &shares{
		client: client,
		view:   view,
		lender: &lender.Lender{
			Self:        self,
			Incarnation: incarnation,
			Lease:       shareLease,
			ViewTTL:     hold,
		},
		borrower: &borrower.Borrower{
			Self:        self,
			Incarnation: incarnation,
			ViewTTL:     hold,
		},
	}
}

// run renews the shares until ctx ends.
func (s *shares) run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		s.renew(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *shares) renew(ctx context.Context) {
	wanted := make(map[string]borrower.Demand)
	s.renewals++
	idleToo := len(s.view().GetMembers()) <= smallView && s.renewals%idleRenewal == 0
	for limit, demand := range s.limiter.RefreshShares(time.Now()) {
		if !idleToo && demand == (limiter.Demand{}) {
			continue
		}
		wanted[limit] = borrower.Demand{
			Offered: demand.Offered,
			InUse:   demand.InUse,
		}
	}
	s.mu.Lock()
	s.follow(time.Now())
	actions := s.borrower.Step(time.Now(), borrower.DemandChanged{Demands: wanted})
	s.mu.Unlock()
	for _, action := range actions {
		if ask, ok := action.(borrower.SendRequest); ok {
			go s.ask(ctx, ask)
		}
	}
}

func (s *shares) ask(ctx context.Context, ask borrower.SendRequest) {
	sentAt := time.Now()
	response := &messages.ShareResponse{}
	if ask.Member.GetEntry() == string(s.lender.Self) {
		response = s.lend(ask.Request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		if err := s.client.Call(ctx, ask.Member.GetPeerAddress(), MethodShare, ask.Request, response); err != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.Step(time.Now(), borrower.ResponseReceived{
		From:     units.Instance(ask.Member.GetEntry()),
		SentAt:   sentAt,
		Response: response,
	})
}

// onShare answers another entry.
func (s *shares) onShare(_ context.Context, peer connector.Peer, request *messages.ShareRequest) (*messages.ShareResponse, error) {
	if err := peer.Speaks(certifier.Entry, request.GetEntry()); err != nil {
		return nil, err
	}
	return s.lend(request), nil
}

func (s *shares) lend(request *messages.ShareRequest) *messages.ShareResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.follow(now)
	for _, action := range s.lender.Step(now, lender.RequestReceived{Request: request}) {
		if answer, ok := action.(lender.SendResponse); ok {
			return answer.Response
		}
	}
	return &messages.ShareResponse{}
}

// follow takes the newest view; the caller holds the lock.
func (s *shares) follow(now time.Time) {
	if view := s.view(); view != nil {
		s.lender.Step(now, lender.ViewChanged{View: view})
		s.borrower.Step(now, borrower.ViewChanged{View: view})
	}
}

// confirm takes that control's leader held the view for the newest not before at.
func (s *shares) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(time.Now())
	s.lender.Step(time.Now(), lender.ViewConfirmed{At: at})
	s.borrower.Step(time.Now(), borrower.ViewConfirmed{At: at})
}

// Shares returns what this entry may use of a limit now.
func (s *shares) Shares(limit string) []limiter.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.follow(now)
	var list []limiter.Share
	if floor := s.borrower.GuaranteedShare(now); floor > 0 {
		list = append(list, limiter.Share{Fraction: floor})
	}
	for _, loan := range s.borrower.Shares(now, limit) {
		list = append(list, limiter.Share{
			Fraction: loan.Fraction,
			Until:    loan.Until,
		})
	}
	return list
}

// ready reports whether this entry has a share of the limits at all.
func (s *shares) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(time.Now())
	return s.borrower.GuaranteedShare(time.Now()) > 0
}
