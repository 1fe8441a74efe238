package buyer

import "github.com/rosecroft/rosecroft/src/messages"

// CanReplace reports whether a purchase's next state may replace the known one, which is nil if
// there is none.
//
// States only move forward: a proposal of an earlier leader that is committed late must not
// make an instance that was released count again.
func CanReplace(known, next *messages.Purchase) bool {
	if known == nil {
		return next.GetState() == messages.PurchaseState_PURCHASE_STATE_PLANNED
	}
	if known.GetState() >= messages.PurchaseState_PURCHASE_STATE_REFUSED {
		return false
	}
	return next.GetState() > known.GetState()
}
