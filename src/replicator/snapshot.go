package replicator

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// transfer is a snapshot on its way to one follower, one piece at a time.
type transfer struct {
	index   units.Index
	content []byte
	offset  int
	sentAt  time.Time
}

// incoming is a snapshot that arrives in pieces.
type incoming struct {
	index    uint64
	checksum uint64
	content  []byte
}

// askSnapshot asks for a snapshot once enough records are applied behind the last.
func (n *Node) askSnapshot() {
	behind := n.applied - units.Index(n.snapshot.GetIndex())
	if n.snapshotAsked || behind == 0 {
		return
	}
	if behind < n.options.SnapshotRecords && n.appliedBytes < n.options.SnapshotBytes {
		return
	}
	n.snapshotAsked = true
	n.act(TakeSnapshot{Index: n.applied})
}

// keepSnapshot compacts the log up to a snapshot, but for a few records that
// spare a follower that is only a little behind the whole transfer.
func (n *Node) keepSnapshot(now time.Time, e SnapshotTaken) {
	n.snapshotAsked = false
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
	n.encoded = nil
	n.appliedBytes = 0
	n.memberships = n.memberships.compact(e.Index)
	n.log.compact(n.retainFrom(e.Index))
	n.persistSnapshot()
	n.refreshMembership(now)
}

// retainFrom returns the index up to which the log may be dropped.
func (n *Node) retainFrom(index units.Index) units.Index {
	size := 0
	kept := units.Index(0)
	for kept < n.options.SnapshotRecords/retainedShare && index-kept > n.log.base {
		size += proto.Size(n.log.at(index - kept))
		if size > n.options.SnapshotBytes/retainedShare {
			break
		}
		kept++
	}
	return index - kept
}

func (n *Node) persistSnapshot() {
	n.act(PersistSnapshot{
		State:    n.hardState(),
		Snapshot: n.snapshot,
		Base:     n.log.header(),
		Records:  n.log.records,
	})
}

// install replaces the log up to the snapshot; records behind it stay where the
// log holds the snapshot's last record.
func (n *Node) install(now time.Time, snapshot *messages.LogSnapshot) {
	index, term := units.Index(snapshot.GetIndex()), units.Term(snapshot.GetTerm())
	first := placedMembership{
		index:      index,
		membership: snapshot.GetMembership(),
	}
	if n.founded() && index > n.log.base && n.log.matches(index, term) {
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
	n.encoded = nil
	n.appliedBytes = 0
	n.snapshotAsked = false
	n.commit = index
	n.applied = index
	n.persistSnapshot()
	n.act(Restore{Snapshot: snapshot})
	n.refreshMembership(now)
}

// sendPiece sends the next piece, or the same one again where its answer stays out.
func (n *Node) sendPiece(now time.Time, peer units.VoterID) {
	p := n.peers[peer]
	if p.transfer == nil {
		p.transfer = &transfer{
			index:   units.Index(n.snapshot.GetIndex()),
			content: n.encodedSnapshot(),
		}
	}
	t := p.transfer
	if !t.sentAt.IsZero() && now.Sub(t.sentAt) < n.options.Election/2 {
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

func (n *Node) encodedSnapshot() []byte {
	if n.encoded == nil {
		// Marshal fails on no message of this kind.
		n.encoded, _ = proto.MarshalOptions{Deterministic: true}.Marshal(n.snapshot)
	}
	return n.encoded
}

func (n *Node) countPiece(now time.Time, m *messages.LogMessage, response *messages.SnapshotPieceResponse) {
	from := units.VoterID(m.GetFrom())
	p := n.peers[from]
	if n.role != Leader || units.Term(m.GetTerm()) != n.term || p == nil || p.transfer == nil {
		return
	}
	t := p.transfer
	if units.Index(response.GetIndex()) != t.index {
		return
	}
	if !response.GetKept() {
		t.offset = min(int(response.GetOffset()), len(t.content))
		t.sentAt = time.Time{}
		n.sendPiece(now, from)
		return
	}
	p.transfer = nil
	p.match = max(p.match, t.index)
	p.next = p.match + 1
	n.sendAppend(now, from)
}

func (n *Node) receivePiece(now time.Time, m *messages.LogMessage, piece *messages.SnapshotPiece) {
	term := units.Term(m.GetTerm())
	from := units.VoterID(m.GetFrom())
	if term < n.term {
		return
	}
	n.becomeFollower(now, term, from.Instance())
	n.hear(now)
	kept := n.founded() && units.Index(piece.GetIndex()) <= n.commit
	if !kept {
		kept = n.gather(now, piece)
	}
	response := &messages.SnapshotPieceResponse{
		Index: piece.GetIndex(),
		Kept:  kept,
	}
	if n.incoming != nil {
		response.Offset = uint64(len(n.incoming.content))
	}
	n.sendTo(from, n.term, &messages.LogMessage{
		Body: &messages.LogMessage_SnapshotPieceResponse{
			SnapshotPieceResponse: response,
		},
	})
}

// gather adds a piece and reports whether the snapshot is whole and installed.
func (n *Node) gather(now time.Time, piece *messages.SnapshotPiece) bool {
	in := n.incoming
	if in == nil || in.index != piece.GetIndex() || in.checksum != piece.GetChecksum() {
		in = &incoming{
			index:    piece.GetIndex(),
			checksum: piece.GetChecksum(),
		}
		n.incoming = in
	}
	if piece.GetOffset() != uint64(len(in.content)) {
		return false
	}
	in.content = append(in.content, piece.GetContent()...)
	if uint64(len(in.content)) < piece.GetSize() {
		return false
	}
	n.incoming = nil
	snapshot := &messages.LogSnapshot{}
	if xxhash.Sum64(in.content) != in.checksum || proto.Unmarshal(in.content, snapshot) != nil {
		return false
	}
	if n.founded() && snapshot.GetLogId() != n.logID {
		return false
	}
	n.install(now, snapshot)
	return true
}
