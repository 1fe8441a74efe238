package control

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/buyer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxFinishedPurchases bounds the finished purchases that are retained.
const maxFinishedPurchases = 1024

// purchaseLedger is the replicated state of all purchases.
type purchaseLedger struct {
	purchases map[string]*messages.Purchase
	// finished holds the tokens of finished purchases in the order in which they
	// finished; the oldest are dropped.
	finished []string
}

// Name returns the ledger's key in snapshots.
func (l *purchaseLedger) Name() string { return "purchases" }

// Apply stores a purchase's next state if it may follow the current one.
func (l *purchaseLedger) Apply(_ units.Index, command *messages.Command) proto.Message {
	p := command.GetPurchase()
	if p == nil || !buyer.CanReplace(l.purchases[p.GetToken()], p) {
		return nil
	}
	l.put(p)
	return nil
}

func (l *purchaseLedger) put(p *messages.Purchase) {
	if l.purchases == nil {
		l.purchases = make(map[string]*messages.Purchase)
	}
	l.purchases[p.GetToken()] = p
	if p.GetState() < messages.PurchaseState_PURCHASE_STATE_REFUSED {
		return
	}
	l.finished = append(l.finished, p.GetToken())
	if len(l.finished) > maxFinishedPurchases {
		delete(l.purchases, l.finished[0])
		l.finished = l.finished[1:]
	}
}

// list returns all purchases, the finished ones first and in the order in which they
// finished.
func (l *purchaseLedger) list() []*messages.Purchase {
	list := make([]*messages.Purchase, 0, len(l.purchases))
	for _, token := range l.finished {
		list = append(list, l.purchases[token])
	}
	return append(list, l.unfinished()...)
}

// unfinished returns the purchases that have not finished, sorted by token.
func (l *purchaseLedger) unfinished() []*messages.Purchase {
	var unfinished []*messages.Purchase
	for _, token := range slices.Sorted(maps.Keys(l.purchases)) {
		if l.purchases[token].GetState() < messages.PurchaseState_PURCHASE_STATE_REFUSED {
			unfinished = append(unfinished, l.purchases[token])
		}
	}
	return unfinished
}

// Snapshot returns all purchases, encoded.
func (l *purchaseLedger) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&messages.PurchaseLedger{Purchases: l.list()})
}

// Restore replaces all purchases.
func (l *purchaseLedger) Restore(content []byte) error {
	ledger := &messages.PurchaseLedger{}
	if err := proto.Unmarshal(content, ledger); err != nil {
		return fmt.Errorf("decode the purchases of a snapshot: %w", err)
	}
	l.purchases = nil
	l.finished = nil
	for _, p := range ledger.GetPurchases() {
		l.put(p)
	}
	return nil
}
