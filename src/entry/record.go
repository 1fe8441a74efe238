package entry

import (
	"context"
	"time"

	"github.com/rosecroft/rosecroft/src/recorder"
)

// recordDrain is how long a stop waits until the ends of calls are stored.
const recordDrain = 2 * time.Second

// newRecorder returns this entry's part of the record of calls.
func (e *Entry) newRecorder() *recorder.Recorder {
	return &recorder.Recorder{
		Self: recorder.Identity{
			Name:        e.Settings.Name,
			Incarnation: e.incarnation,
		},
		Client:    e.Client,
		Scope:     e.Meter.Scope,
		EntryView: e.View,
		Bounds:    e.recordBounds,
	}
}

// recordBounds returns the bounds in force, 0 before the first configuration.
func (e *Entry) recordBounds() (time.Duration, int64) {
	snapshot := e.snapshot.Load()
	if snapshot == nil {
		return 0, 0
	}
	bounds := snapshot.Configuration.Record
	return bounds.KeepFor, bounds.KeepBytes
}

// drainRecord waits for the ends of the last calls: a peer that is asked for
// one of them after this entry has gone would have to say "unknown".
func (e *Entry) drainRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordDrain)
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
