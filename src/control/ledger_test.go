package control

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
)

// A voter that missed many commands restores the ledger from a snapshot. If a purchase
// were lost or in a different state, its instance would be bought again or never
// released.
func TestLedgerSurvivesItsSnapshot(t *testing.T) {
	ledger := &purchaseLedger{}
	for _, state := range []messages.PurchaseState{1, 2, 3, 5} {
		ledger.Apply(1, purchaseCommand("a", state))
	}
	ledger.Apply(2, purchaseCommand("b", 1))
	ledger.Apply(3, purchaseCommand("c", 2))
	content, err := ledger.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &purchaseLedger{}
	if err := restored.Restore(content); err != nil {
		t.Fatal(err)
	}
	if got, want := len(restored.list()), 2; got != want {
		t.Fatalf("purchases restored: got %d, want %d", got, want)
	}
	for i, want := range ledger.list() {
		if got := restored.list()[i]; !proto.Equal(got, want) {
			t.Errorf("purchase %d: got %v, want %v", i, got, want)
		}
	}
}

func purchaseCommand(token string, state messages.PurchaseState) *messages.Command {
	return &messages.Command{
		Change: &messages.Command_Purchase{
			Purchase: &messages.Purchase{
				Token: token,
				State: state,
			},
		},
	}
}
