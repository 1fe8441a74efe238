package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/persister"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	logIDBytes   = 8
	probeTimeout = time.Second
)

// Recovery makes a stopped instance the only voter of a new log that continues its
// records, after a majority of the voters has been permanently lost. Changes that
// only the lost voters held are lost. Its fields are set before Run.
type Recovery struct {
	Settings *parser.Settings
	// LogID is the id of the old log, as shown in a dump of this instance.
	LogID string
	// LostVoters names the permanently lost voters.
	LostVoters []units.Instance
}

// RecoveryError reports why a recovery is refused.
type RecoveryError struct {
	Reason string
	Remedy string
}

// Error returns the reason and its remedy.
func (e *RecoveryError) Error() string { return e.Reason + "; " + e.Remedy }

// Run rewrites the data folder and returns the id of the new log.
func (r *Recovery) Run(ctx context.Context) (logID string, err error) {
	folder, kept, err := persister.Open(r.Settings.DataFolder, r.Settings.Name)
	if err != nil {
		return "", fmt.Errorf("open the data folder: %w", err)
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	membership := newestMembership(kept)
	if err := r.check(kept, membership); err != nil {
		return "", err
	}
	if err := r.checkOthersStopped(ctx); err != nil {
		return "", err
	}
	return r.writeNewLog(folder, kept, membership)
}

// check returns an error if the recovery is not needed or is for another log.
func (r *Recovery) check(kept *persister.Contents, membership *messages.Membership) error {
	if kept.Snapshot == nil || kept.Snapshot.GetLogId() != r.LogID {
		return &RecoveryError{
			Reason: fmt.Sprintf("the folder holds log %q and not %q", kept.Snapshot.GetLogId(), r.LogID),
			Remedy: "read the log's id in a dump of the instance that is to go on",
		}
	}
	var others []units.Instance
	voters := 0
	for _, member := range membership.GetMembers() {
		if member.GetLearner() {
			continue
		}
		voters++
		if id := units.VoterID(member.GetId()); id != kept.ID {
			others = append(others, id.Instance())
		}
	}
	for _, lost := range r.LostVoters {
		if !slices.Contains(others, lost) {
			return &RecoveryError{
				Reason: fmt.Sprintf("%s is no other voter of this log; the others are %v", lost, others),
				Remedy: "name the voters that are lost for ever",
			}
		}
	}
	if voters-len(r.LostVoters) > voters/2 {
		return &RecoveryError{
			Reason: fmt.Sprintf("%d of %d voters are left, which is a majority", voters-len(r.LostVoters), voters),
			Remedy: "start them; a lost minority is replaced without help",
		}
	}
	return nil
}

// checkOthersStopped returns an error if any other control instance runs: it could
// belong to the old log, and two logs would accept changes at the same time.
func (r *Recovery) checkOthersStopped(ctx context.Context) error {
	for _, other := range r.Settings.Control {
		if other.Name == r.Settings.Name {
			continue
		}
		dialer := &net.Dialer{Timeout: probeTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", other.Address)
		if err != nil {
			continue
		}
		_ = conn.Close()
		return &RecoveryError{
			Reason: fmt.Sprintf("%s answers at %s", other.Name, other.Address),
			Remedy: "stop every control instance first",
		}
	}
	return nil
}

// writeNewLog stores the folder's records under a new log id and in a new term, with an
// additional membership of this voter alone.
func (r *Recovery) writeNewLog(folder *persister.Persister, kept *persister.Contents, membership *messages.Membership) (string, error) {
	random := make([]byte, logIDBytes)
	_, _ = rand.Read(random)
	logID := hex.EncodeToString(random)
	index := kept.Base.GetBaseIndex() + uint64(len(kept.Records)) + 1
	state := &messages.HardState{
		Term:    kept.State.GetTerm() + 1,
		Founded: true,
		// The operator decides that the voters of the membership before it no longer count.
		CommittedMembership: index,
	}
	next := &messages.LogRecord{
		Term:  state.GetTerm(),
		Index: index,
		Command: &messages.Command{
			Change: &messages.Command_Membership{
				Membership: &messages.Membership{
					Number: membership.GetNumber() + 1,
					Members: []*messages.Member{{
						Id:         string(kept.ID),
						DataCentre: string(r.Settings.DataCentre),
					}},
				},
			},
		},
	}
	kept.Snapshot.LogId = logID
	err := folder.SaveSnapshot(state, kept.Snapshot, kept.Base, append(kept.Records, next))
	return logID, err
}

// newestMembership returns the last membership that the folder holds, committed or not.
func newestMembership(kept *persister.Contents) *messages.Membership {
	membership := kept.Snapshot.GetMembership()
	for _, record := range kept.Records {
		if record.GetIndex() <= kept.Snapshot.GetIndex() {
			continue
		}
		if newer := record.GetCommand().GetMembership(); newer != nil {
			membership = newer
		}
	}
	return membership
}
