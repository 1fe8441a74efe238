package entry

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/recorder"
)

// recordDrainTimeout bounds how long a stop waits until the outcomes of calls are stored.
const recordDrainTimeout = 2 * time.Second

// newRecorder returns this entry's part of the call record.
func (e *Entry) newRecorder() *recorder.Recorder {
	return &recorder.Recorder{
		Self: recorder.Identity{
			Name:        e.Settings.Name,
			Incarnation: e.incarnation,
		},
		Client:    e.Client,
		Scope:     e.Meter.Scope,
		EntryView: e.View,
		Retention: e.recordBounds,
	}
}

// recordBounds returns the bounds in force, 0 before the first configuration.
func (e *Entry) recordBounds() (time.Duration, int64) {
	snapshot := e.snapshot.Load()
	if snapshot == nil {
		return 0, 0
	}
	bounds := snapshot.Configuration.Record
	return bounds.TTL, bounds.MaxBytes
}

// drainRecord waits until the outcomes of the last calls are stored. A peer that is asked for one
// of them after this entry has gone would otherwise have to answer "unknown".
func (e *Entry) drainRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordDrainTimeout)
	defer cancel()
	e.recorder.Drain(ctx)
}

func (e *Entry) dumpRecord(ctx context.Context, dump *Dump) (any, error) {
	record, err := e.recorder.Dump(ctx)
	if err != nil {
		return nil, err
	}
	dump.Record = record
	return dump, nil
}
