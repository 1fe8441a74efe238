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

// MethodShare requests shares of the limits that the receiving entry lends.
const MethodShare = "limit/share"

const (
	renewInterval = 250 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	shareLease    = 2 * time.Second
	// maxSmallView is the maximum number of entries at which each asks for all limits, so that
	// each has an equal share of an idle one. In a larger view they ask as calls arrive.
	maxSmallView = 32
	// idleRenewalRounds is how many rounds of renewal lie between two renewals of a limit without
	// calls; its lease lasts twice as long.
	idleRenewalRounds = 4
)

// shares lends and borrows shares of limits. One lock guards both state machines.
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

func newShares(client *connector.Client, view func() *messages.EntryView, self units.Instance, incarnation uint64, viewTTL time.Duration) *shares {
	return &shares{
		client: client,
		view:   view,
		lender: &lender.Lender{
			Self:        self,
			Incarnation: incarnation,
			Lease:       shareLease,
			ViewTTL:     viewTTL,
		},
		borrower: &borrower.Borrower{
			Self:        self,
			Incarnation: incarnation,
			ViewTTL:     viewTTL,
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
	demands := make(map[string]borrower.Demand)
	s.renewals++
	includeIdle := len(s.view().GetMembers()) <= maxSmallView && s.renewals%idleRenewalRounds == 0
	for limit, demand := range s.limiter.RefreshShares(time.Now()) {
		if !includeIdle && demand == (limiter.Demand{}) {
			continue
		}
		demands[limit] = borrower.Demand{
			Offered: demand.Offered,
			InUse:   demand.InUse,
		}
	}
	s.mu.Lock()
	s.updateView(time.Now())
	actions := s.borrower.Step(time.Now(), borrower.DemandChanged{Demands: demands})
	s.mu.Unlock()
	for _, action := range actions {
		if send, ok := action.(borrower.SendRequest); ok {
			go s.sendRequest(ctx, send)
		}
	}
}

func (s *shares) sendRequest(ctx context.Context, send borrower.SendRequest) {
	sentAt := time.Now()
	response := &messages.ShareResponse{}
	if send.Member.GetEntry() == string(s.lender.Self) {
		response = s.answerRequest(send.Request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		if err := s.client.Call(ctx, send.Member.GetPeerAddress(), MethodShare, send.Request, response); err != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.Step(time.Now(), borrower.ResponseReceived{
		From:     units.Instance(send.Member.GetEntry()),
		SentAt:   sentAt,
		Response: response,
	})
}

// onShare handles another entry's request.
func (s *shares) onShare(_ context.Context, peer connector.Peer, request *messages.ShareRequest) (*messages.ShareResponse, error) {
	if err := peer.RequireName(certifier.Entry, request.GetEntry()); err != nil {
		return nil, err
	}
	return s.answerRequest(request), nil
}

func (s *shares) answerRequest(request *messages.ShareRequest) *messages.ShareResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.updateView(now)
	for _, action := range s.lender.Step(now, lender.RequestReceived{Request: request}) {
		if answer, ok := action.(lender.SendResponse); ok {
			return answer.Response
		}
	}
	return &messages.ShareResponse{}
}

// updateView passes the newest view to both state machines. The caller holds the lock.
func (s *shares) updateView(now time.Time) {
	if view := s.view(); view != nil {
		s.lender.Step(now, lender.ViewChanged{View: view})
		s.borrower.Step(now, borrower.ViewChanged{View: view})
	}
}

// confirmView records that control's leader considered the view the newest one not before at.
func (s *shares) confirmView(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateView(time.Now())
	s.lender.Step(time.Now(), lender.ViewConfirmed{At: at})
	s.borrower.Step(time.Now(), borrower.ViewConfirmed{At: at})
}

// Shares returns the shares of a limit that this entry may use now.
func (s *shares) Shares(limit string) []limiter.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.updateView(now)
	var usable []limiter.Share
	if guaranteed := s.borrower.GuaranteedShare(now); guaranteed > 0 {
		usable = append(usable, limiter.Share{Fraction: guaranteed})
	}
	for _, borrowed := range s.borrower.Shares(now, limit) {
		usable = append(usable, limiter.Share{
			Fraction: borrowed.Fraction,
			Until:    borrowed.Until,
		})
	}
	return usable
}

// isReady reports whether this entry has any share of the limits.
func (s *shares) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateView(time.Now())
	return s.borrower.GuaranteedShare(time.Now()) > 0
}
