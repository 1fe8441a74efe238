package entry

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Bounds for what an upstream may announce. Figures beyond them, such as a negative load or a
// step time that is not a number, would make the choice of upstreams meaningless.
const (
	maxLeavingNotice = 24 * time.Hour
	maxLoadAge       = time.Hour
	maxSlots         = 1 << 20
	maxTokens        = 1 << 40
	maxStep          = time.Minute
	maxPrice         = 1e6
	maxTextLength    = 255
	maxURLLength     = 1024
	maxListLength    = 256
)

// OutOfBoundsError reports which field of an announcement is out of bounds.
type OutOfBoundsError struct {
	Field   string
	Value   any
	Allowed string
}

// Error includes the remedy.
func (e *OutOfBoundsError) Error() string {
	return fmt.Sprintf("announcement refused: %s is %v; send %s", e.Field, e.Value, e.Allowed)
}

// parseAnnouncement returns an announcement whose fields are within bounds.
func parseAnnouncement(content []byte) (*messages.Announcement, error) {
	announcement := &messages.Announcement{}
	if err := protojson.Unmarshal(content, announcement); err != nil {
		return nil, fmt.Errorf("read the announcement: %w; send the fields of the announcement's schema alone", err)
	}
	if err := checkNumbers(announcement); err != nil {
		return nil, err
	}
	return announcement, checkTexts(announcement)
}

func checkNumbers(a *messages.Announcement) error {
	for _, number := range []struct {
		field      string
		value      float64
		maxAllowed float64
	}{
		{field: "price-per-hour", value: a.GetPricePerHour(), maxAllowed: maxPrice},
		{field: "step-ms", value: a.GetStepMs(), maxAllowed: float64(maxStep.Milliseconds())},
		{field: "leaving-within-ms", value: float64(a.GetLeavingWithinMs()), maxAllowed: float64(maxLeavingNotice.Milliseconds())},
		{field: "load.age-ms", value: float64(a.GetLoad().GetAgeMs()), maxAllowed: float64(maxLoadAge.Milliseconds())},
		{field: "load.queued-tokens", value: float64(a.GetLoad().GetQueuedTokens()), maxAllowed: maxTokens},
		{field: "slots", value: float64(a.GetSlots()), maxAllowed: maxSlots},
		{field: "load.running", value: float64(a.GetLoad().GetRunning()), maxAllowed: maxSlots},
		{field: "load.queued", value: float64(a.GetLoad().GetQueued()), maxAllowed: maxSlots},
	} {
		if math.IsNaN(number.value) || number.value < 0 || number.value > number.maxAllowed {
			return &OutOfBoundsError{
				Field:   number.field,
				Value:   number.value,
				Allowed: fmt.Sprintf("a number from 0 to %g", number.maxAllowed),
			}
		}
	}
	return nil
}

func checkTexts(a *messages.Announcement) error {
	for field, value := range map[string]string{
		"upstream": a.GetUpstream(), "service": a.GetService(), "data-centre": a.GetDataCentre(),
		"machine-class": a.GetMachineClass(), "model": a.GetModel(), "model-version": a.GetModelVersion(), "role": a.GetRole(),
	} {
		if len(value) > maxTextLength {
			return tooLong(field, len(value), maxTextLength)
		}
	}
	if len(a.GetAddress()) > maxURLLength {
		return tooLong("address", len(a.GetAddress()), maxURLLength)
	}
	if len(a.GetAdapters()) > maxListLength {
		return tooLong("adapters", len(a.GetAdapters()), maxListLength)
	}
	return nil
}

func tooLong(field string, length, maxAllowed int) error {
	return &OutOfBoundsError{
		Field:   field,
		Value:   fmt.Sprintf("%d long", length),
		Allowed: fmt.Sprintf("at most %d", maxAllowed),
	}
}
