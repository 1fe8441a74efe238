package entry

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosecroft/rosecroft/src/messages"
)

// Bounds for what an upstream may say of itself; beyond them the figures would
// turn choices of upstreams into nonsense, such as a negative load or a step
// time that is no number.
const (
	maxNotice  = 24 * time.Hour
	maxLoadAge = time.Hour
	maxSlots   = 1 << 20
	maxTokens  = 1 << 40
	maxStep    = time.Minute
	maxPrice   = 1e6
	maxText    = 255
	maxURL     = 1024
	maxLists   = 256
)

// FigureError says which figure of an announcement is out of bounds.
type FigureError struct {
	Field   string
	Value   any
	Allowed string
}

// Error names the remedy.
func (e *FigureError) Error() string {
	return fmt.Sprintf("announcement refused: %s is %v; send %s", e.Field, e.Value, e.Allowed)
}

// parseAnnouncement returns an announcement whose figures are within bounds.
func parseAnnouncement(content []byte) (*messages.Announcement, error) {
	announcement := &messages.Announcement{}
	if err := protojson.Unmarshal(content, announcement); err != nil {
		return nil, fmt.Errorf("read the announcement: %w; send the fields of the announcement's schema alone", err)
	}
	if err := checkFigures(announcement); err != nil {
		return nil, err
	}
	return announcement, checkTexts(announcement)
}

func checkFigures(a *messages.Announcement) error {
	for _, figure := range []struct {
		field string
		value float64
		most  float64
	}{
		{field: "price-per-hour", value: a.GetPricePerHour(), most: maxPrice},
		{field: "step-ms", value: a.GetStepMs(), most: float64(maxStep.Milliseconds())},
		{field: "leaving-within-ms", value: float64(a.GetLeavingWithinMs()), most: float64(maxNotice.Milliseconds())},
		{field: "load.age-ms", value: float64(a.GetLoad().GetAgeMs()), most: float64(maxLoadAge.Milliseconds())},
		{field: "load.queued-tokens", value: float64(a.GetLoad().GetQueuedTokens()), most: maxTokens},
		{field: "slots", value: float64(a.GetSlots()), most: maxSlots},
		{field: "load.running", value: float64(a.GetLoad().GetRunning()), most: maxSlots},
		{field: "load.queued", value: float64(a.GetLoad().GetQueued()), most: maxSlots},
	} {
		if math.IsNaN(figure.value) || figure.value < 0 || figure.value > figure.most {
			return &FigureError{
				Field:   figure.field,
				Value:   figure.value,
				Allowed: fmt.Sprintf("a number from 0 to %g", figure.most),
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
		if len(value) > maxText {
			return tooLong(field, len(value), maxText)
		}
	}
	if len(a.GetAddress()) > maxURL {
		return tooLong("address", len(a.GetAddress()), maxURL)
	}
	if len(a.GetAdapters()) > maxLists {
		return tooLong("adapters", len(a.GetAdapters()), maxLists)
	}
	return nil
}

func tooLong(field string, length, most int) error {
	return &FigureError{
		Field:   field,
		Value:   fmt.Sprintf("%d long", length),
		Allowed: fmt.Sprintf("at most %d", most),
	}
}
