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

// purchasesRetained is how many finished purchases are remembered.
const purchasesRetained = 1024

// purchaseLedger is the replicated state of all purchases.
type purchaseLedger struct {
	purchases map[string]*messages.Purchase
	// finished are tokens in the order of their end; the oldest are forgotten.
	finished []string
}

// Name is the ledger's key in snapshots.
func (l *purchaseLedger) Name() string { return "purchases" }

// Apply takes one purchase's next state where it follows the one known.
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
	if len(l.finished) > purchasesRetained {
		delete(l.purchases, l.finished[0])
		l.finished = l.finished[1:]
	}
}

// list returns all purchases, the finished ones first and in their order.
func (l *purchaseLedger) list() []*messages.Purchase {
	list := make([]*messages.Purchase, 0, len(l.purchases))
	for _, token := range l.finished {
		list = append(list, l.purchases[token])
	}
	return append(list, l.open()...)
}

// open returns the purchases that have not ended.
func (l *purchaseLedger) open() []*messages.Purchase {
	var open []*messages.Purchase
	for _, token := range slices.Sorted(maps.Keys(l.purchases)) {
		if l.purchases[token].GetState() < messages.PurchaseState_PURCHASE_STATE_REFUSED {
			open = append(open, l.purchases[token])
		}
	}
	return open
}

// Snapshot returns all purchases.
func (l *purchaseLedger) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&messages.PurchaseLedger{Purchases: l.list()})
}

// Restore replaces all purchases.
func (l *purchaseLedger) Restore(content []byte) error {
	ledger := &messages.PurchaseLedger{}
	if err := proto.Unmarshal(content, ledger); err != nil {
		return fmt.Errorf("read the purchases of a snapshot: %w", err)
	}
	l.purchases = nil
	l.finished = nil
	for _, p := range ledger.GetPurchases() {
		l.put(p)
	}
	return nil
}
