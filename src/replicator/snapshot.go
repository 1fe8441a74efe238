package replicator

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// snapshotTransfer is a snapshot that is being sent to one follower, one piece at a time.
type snapshotTransfer struct {
	index   units.Index
	content []byte
	offset  int
	sentAt  time.Time
}

// incomingSnapshot is a snapshot that is being received in pieces.
type incomingSnapshot struct {
	index    uint64
	checksum uint64
	content  []byte
}

// requestSnapshot requests a snapshot once enough has been applied since the last one.
func (n *Node) requestSnapshot() {
	behind := n.applied - units.Index(n.snapshot.GetIndex())
	if n.snapshotRequested || behind == 0 {
		return
	}
	if behind < n.options.SnapshotRecords && n.appliedBytes < n.options.SnapshotBytes {
		return
	}
	n.snapshotRequested = true
	n.emit(TakeSnapshot{Index: n.applied})
}

// storeSnapshot persists a snapshot and compacts the log before it. It retains a few
// records, so that a follower that is only a little behind needs no transfer of the
// whole snapshot.
func (n *Node) storeSnapshot(now time.Time, e SnapshotTaken) {
	n.snapshotRequested = false
	if e.Index <= units.Index(n.snapshot.GetIndex()) || e.Index > n.applied {
		return
	}
	n.snapshot = &messages.LogSnapshot{
		Index:      uint64(e.Index),
		Term:       uint64(n.log.termAt(e.Index)),
		Membership: n.memberships.at(e.Index),
		LogId:      n.logID,
		Content:    e.Content,
	}
	n.encodedSnapshotBytes = nil
	n.appliedBytes = 0
	n.memberships = n.memberships.compact(e.Index)
	n.log.compact(n.compactionIndex(e.Index))
	n.persistSnapshot()
	n.updateMembership(now)
}

// compactionIndex returns the index up to which records may be dropped after a
// snapshot at index.
func (n *Node) compactionIndex(index units.Index) units.Index {
	size := 0
	kept := units.Index(0)
	for kept < n.options.SnapshotRecords/retainedDivisor && index-kept > n.log.base {
		size += proto.Size(n.log.at(index - kept))
		if size > n.options.SnapshotBytes/retainedDivisor {
			break
		}
		kept++
	}
	return index - kept
}

func (n *Node) persistSnapshot() {
	n.emit(PersistSnapshot{
		State:    n.hardState(),
		Snapshot: n.snapshot,
		Base:     n.log.header(),
		Records:  n.log.records,
	})
}

// installSnapshot replaces the log up to the snapshot's index. Later records remain
// only if the log holds the snapshot's last record.
func (n *Node) installSnapshot(now time.Time, snapshot *messages.LogSnapshot) {
	index, term := units.Index(snapshot.GetIndex()), units.Term(snapshot.GetTerm())
	first := indexedMembership{
		index:      index,
		membership: snapshot.GetMembership(),
	}
	if n.hasLog() && index > n.log.base && n.log.matches(index, term) {
		n.memberships = n.memberships.compact(index)
		n.memberships[0] = first
		n.log.compact(index)
	} else {
		n.memberships = memberships{first}
		n.log = recordLog{
			base:     index,
			baseTerm: term,
		}
	}
	n.snapshot = snapshot
	n.logID = snapshot.GetLogId()
	n.encodedSnapshotBytes = nil
	n.appliedBytes = 0
	n.snapshotRequested = false
	n.commit = index
	n.applied = index
	n.persistSnapshot()
	n.emit(Restore{Snapshot: snapshot})
	n.updateMembership(now)
}

// sendPiece sends the next piece, or resends the last one if it has not been
// answered within half an election timeout.
func (n *Node) sendPiece(now time.Time, peer units.VoterID) {
	p := n.peers[peer]
	if p.snapshotTransfer == nil {
		p.snapshotTransfer = &snapshotTransfer{
			index:   units.Index(n.snapshot.GetIndex()),
			content: n.encodeSnapshot(),
		}
	}
	t := p.snapshotTransfer
	if !t.sentAt.IsZero() && now.Sub(t.sentAt) < n.options.ElectionTimeout/2 {
		return
	}
	t.sentAt = now
	end := min(t.offset+pieceBytes, len(t.content))
	n.sendTo(peer, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_SnapshotPiece{
			SnapshotPiece: &messages.SnapshotPiece{
				Index:    uint64(t.index),
				Offset:   uint64(t.offset),
				Size:     uint64(len(t.content)),
				Checksum: xxhash.Sum64(t.content),
				Content:  t.content[t.offset:end],
			},
		},
	})
}

func (n *Node) encodeSnapshot() []byte {
	if n.encodedSnapshotBytes == nil {
		// Marshal cannot fail for a message of this type.
		n.encodedSnapshotBytes, _ = proto.MarshalOptions{Deterministic: true}.Marshal(n.snapshot)
	}
	return n.encodedSnapshotBytes
}

func (n *Node) handleSnapshotPieceResponse(now time.Time, m *messages.LogMessage, response *messages.SnapshotPieceResponse) {
	from := units.VoterID(m.GetFrom())
	p := n.peers[from]
	if n.role != Leader || units.Term(m.GetTerm()) != n.term || p == nil || p.snapshotTransfer == nil {
		return
	}
	t := p.snapshotTransfer
	if units.Index(response.GetIndex()) != t.index {
		return
	}
	if !response.GetKept() {
		t.offset = min(int(response.GetOffset()), len(t.content))
		t.sentAt = time.Time{}
		n.sendPiece(now, from)
		return
	}
	p.snapshotTransfer = nil
	p.match = max(p.match, t.index)
	p.next = p.match + 1
	n.sendAppend(now, from)
}

func (n *Node) handleSnapshotPiece(now time.Time, m *messages.LogMessage, piece *messages.SnapshotPiece) {
	term := units.Term(m.GetTerm())
	from := units.VoterID(m.GetFrom())
	if term < n.term {
		return
	}
	n.becomeFollower(now, term, from.Instance())
	n.recordLeaderContact(now)
	kept := n.hasLog() && units.Index(piece.GetIndex()) <= n.commit
	if !kept {
		kept = n.addPiece(now, piece)
	}
	response := &messages.SnapshotPieceResponse{
		Index: piece.GetIndex(),
		Kept:  kept,
	}
	if n.incomingSnapshot != nil {
		response.Offset = uint64(len(n.incomingSnapshot.content))
	}
	n.sendTo(from, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_SnapshotPieceResponse{
			SnapshotPieceResponse: response,
		},
	})
}

// addPiece adds a piece and reports whether the snapshot is complete and installed.
func (n *Node) addPiece(now time.Time, piece *messages.SnapshotPiece) bool {
	in := n.incomingSnapshot
	if in == nil || in.index != piece.GetIndex() || in.checksum != piece.GetChecksum() {
		in = &incomingSnapshot{
			index:    piece.GetIndex(),
			checksum: piece.GetChecksum(),
		}
		n.incomingSnapshot = in
	}
	if piece.GetOffset() != uint64(len(in.content)) {
		return false
	}
	in.content = append(in.content, piece.GetContent()...)
	if uint64(len(in.content)) < piece.GetSize() {
		return false
	}
	n.incomingSnapshot = nil
	snapshot := &messages.LogSnapshot{}
	if xxhash.Sum64(in.content) != in.checksum || proto.Unmarshal(in.content, snapshot) != nil {
		return false
	}
	if n.hasLog() && snapshot.GetLogId() != n.logID {
		return false
	}
	n.installSnapshot(now, snapshot)
	return true
}
