package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// trio is a founded log of three voters with a leader that accepted version 1.
type trio struct {
	*world
	lead, follower, other *member
}

// inTrio runs a scenario over several elections' random delays.
func inTrio(t *testing.T, scenario func(*trio)) {
	for round := range 12 {
		s := &trio{world: newWorld(t, 3, 3)}
		s.calm(200 + 5*round)
		s.lead = s.leader()
		if s.lead == nil {
			t.Fatal("no leader after two calm seconds")
		}
		var rest []*member
		for _, m := range s.members {
			if m != s.lead {
				rest = append(rest, m)
			}
		}
		s.follower, s.other = rest[0], rest[1]
		s.submit(s.lead, 1, "operator-1")
		s.calm(20)
		scenario(s)
	}
}

func (s *trio) sever(a, b *member) {
	s.cut[[2]units.Instance{a.name, b.name}] = true
	s.cut[[2]units.Instance{b.name, a.name}] = true
}

// rounds lets time pass while operators submit to whoever leads beside the old leader.
func (s *trio) rounds(count int) {
	for i := range count {
		s.calm(1)
		for _, m := range []*member{s.follower, s.other} {
			if m.running() && m.isLeader {
				s.submit(m, uint64(10+i), "operator-2")
			}
		}
	}
}

// A silent cut takes one voter from the leader, then the leader from the last
// voter, too. The first could win an election at once, accept a change, and the
// old leader would still answer operators from before it while its lease runs.
// So a voter that heard the leader within its lease refuses its vote, also when
// it has been restarted in between, and a lease counts from what was sent.
func TestNoElectionWithinALease(t *testing.T) {
	cases := map[string]func(*trio){
		"voter that hears the leader": func(s *trio) {
			s.other.node.deadline = s.other.clock()
			s.sever(s.lead, s.follower)
		},
		"restarted voter": func(s *trio) {
			s.follower.node = nil
			s.follower.start(3)
			s.other.node.deadline = s.other.clock()
			s.sever(s.lead, s.follower)
		},
		"both voters restarted": func(s *trio) {
			for _, m := range []*member{s.follower, s.other} {
				m.node = nil
				m.start(3)
			}
			s.sever(s.lead, s.follower)
		},
		"late answer of a voter": func(s *trio) {
			s.follower.step(Ticked{}, -1)
			s.tick(testHeartbeat)
			var answers []*messages.LogMessage
			for _, message := range s.bag {
				if message.GetTo() != string(s.follower.id) {
					continue
				}
				sent := len(s.bag)
				s.hand(message, -1)
				answers = append(answers, s.bag[sent:]...)
			}
			s.bag = nil
			s.sever(s.lead, s.follower)
			s.other.node.deadline = s.other.clock().Add(510 * time.Millisecond)
			s.calm(34)
			for _, answer := range answers {
				s.lead.step(Received{Message: answer}, -1)
			}
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			inTrio(t, func(s *trio) {
				s.sever(s.lead, s.other)
				s.calm(40)
				begin(s)
				s.rounds(60)
			})
		})
	}
}

// All voters are killed at the same moment and start again one after the other.
// Callers get no answer until one leads, so that it must not take the voters an
// election timeout to find out that no leader is left.
func TestLeaderSoonAfterAllHaveStarted(t *testing.T) {
	inTrio(t, func(s *trio) {
		for _, m := range s.members {
			m.node = nil
		}
		s.bag = nil
		for _, m := range s.members {
			s.calm(10)
			m.start(3)
		}
		s.calm(15)
		if s.leader() == nil {
			t.Errorf("no leader 150 ms after the last voter has started, want one")
		}
		s.calm(100)
		s.checkClaims()
	})
}

// All voters are killed at the same moment, and one starts again with an empty disk. It
// cannot say that it has heard no leader since, and callers would wait for an election
// timeout; that it runs in the other's place shows that the other is gone.
func TestLeaderSoonAfterAllHaveStartedAndADiskIsLost(t *testing.T) {
	inTrio(t, func(s *trio) {
		for _, m := range s.members {
			m.node = nil
		}
		s.bag = nil
		s.other.loseDisk()
		for _, m := range s.members {
			s.calm(10)
			m.start(3)
		}
		s.calm(20)
		if s.leader() == nil {
			t.Errorf("no leader 200 ms after the last process has started, want one")
		}
		s.calm(100)
		s.checkClaims()
	})
}

// Word that a voter's place is taken was held up since an earlier start, and the voter
// that it is about may lead by now. It must count for nothing, or that one's lease and
// the next leader's overlap.
func TestOldWordOfAReplacedVoterProvesNothing(t *testing.T) {
	inTrio(t, func(s *trio) {
		s.follower.node = nil
		s.bag = nil
		s.follower.start(3)
		s.follower.step(Received{Message: &messages.LogMessage{
			From: string(s.other.id.Instance()) + "#stranger",
			To:   string(s.follower.id),
			Body: &messages.LogMessage_Start{
				Start: &messages.Start{
					Nonce:    s.follower.node.start.nonce + 1,
					Replaced: true,
				},
			},
		}}, -1)
		if got := len(s.follower.node.start.replaced); got != 0 {
			t.Errorf("voters taken for gone: got %d, want none", got)
		}
	})
}

// All voters have voted in a term and start again, and none holds a record of it. Its
// leader may be one that they do not know, taken in by a record that they lack; its
// lease would still run. So they wait as long as after any start.
func TestStartsInATermWithoutARecordProveNothing(t *testing.T) {
	inTrio(t, func(s *trio) {
		for _, m := range s.members {
			m.node = nil
			m.disk.State = proto.CloneOf(m.disk.State)
			m.disk.State.Term++
			m.disk.State.VotedFor = ""
		}
		s.bag = nil
		for _, m := range s.members {
			m.start(3)
		}
		s.calm(45)
		if leader := s.leader(); leader != nil {
			t.Errorf("leader within an election timeout of the start: got %s, want none", leader.id)
		}
		s.calm(200)
		if s.leader() == nil {
			t.Error("no leader two seconds after the start")
		}
	})
}

// All voters start again, one of them with a log that lacks the last records. It
// must leave the lead to one that has them, which takes no longer for that.
func TestShorterLogLeavesTheLeadAfterAllHaveStarted(t *testing.T) {
	inTrio(t, func(s *trio) {
		s.sever(s.lead, s.other)
		s.sever(s.follower, s.other)
		s.submit(s.lead, 2, "operator-1")
		s.calm(10)
		for _, m := range s.members {
			m.node = nil
		}
		s.bag = nil
		clear(s.cut)
		for _, m := range s.members {
			m.start(3)
		}
		s.calm(25)
		switch s.leader() {
		case nil:
			t.Errorf("no leader 250 ms after all have started, want one")
		case s.other:
			t.Errorf("leader: got %s, which lacks a record, want another", s.other.id)
		}
	})
}

// A voter grants its vote, crashes and starts again. A second candidate asks in
// the same term; a second vote would let two leaders have a majority.
func TestVoteOutlivesACrash(t *testing.T) {
	inTrio(t, func(s *trio) {
		s.tick(2 * time.Second)
		s.bag = nil
		term := s.follower.node.term + 5
		if got := s.ask(s.lead, term); !got {
			s.t.Fatal("first vote of the term: got no, want yes")
		}
		s.follower.node = nil
		s.follower.start(3)
		s.now = s.now.Add(2 * time.Second)
		if got := s.ask(s.other, term); got {
			s.t.Fatal("second vote of the term after a crash: got yes, want no")
		}
	})
}

// ask asks the follower for its vote and reports whether it was granted.
func (s *trio) ask(candidate *member, term units.Term) bool {
	sent := len(s.bag)
	s.follower.step(Received{Message: &messages.LogMessage{
		From:  string(candidate.id),
		To:    string(s.follower.id),
		Term:  uint64(term),
		LogId: s.follower.node.logID,
		Body: &messages.LogMessage_VoteRequest{
			VoteRequest: &messages.VoteRequest{
				LastIndex: 1000,
				LastTerm:  uint64(term),
			},
		},
	}}, -1)
	for _, message := range s.bag[sent:] {
		if message.GetVoteResponse().GetGranted() {
			return true
		}
	}
	return false
}

// The voter with the newest log is behind in term, and the other one, whose log
// is older, has seen a higher term. Neither may lead unless the first learns the
// term: operators would wait for ever although a majority runs.
func TestNewestLogLearnsTheTerm(t *testing.T) {
	inTrio(t, func(s *trio) {
		s.sever(s.lead, s.follower)
		s.sever(s.lead, s.other)
		s.submit(s.lead, 2, "operator-1")
		s.other.node = nil
		s.calm(120)
		s.ask(s.other, s.follower.node.term+5)
		s.follower.node.votedFor = s.other.id
		clear(s.cut)
		s.calm(800)
		if s.leader() == nil {
			s.t.Fatal("leader among the two that run: got none, want one")
		}
	})
}

// A leader appends a record that no majority gets, starts again and wins a later
// term. A majority then holds the old record and not yet one of the new term; a
// third voter with a higher term in its log could still replace it, so that a
// change counted as committed would vanish.
func TestRecordOfEarlierTermCommitsNothing(t *testing.T) {
	inTrio(t, func(s *trio) {
		s.sever(s.lead, s.follower)
		s.sever(s.lead, s.other)
		s.submit(s.lead, 2, "operator-1")
		index := s.lead.node.LastIndex()
		s.lead.node = nil
		s.lead.start(3)
		s.lead.node.becomeFollower(s.lead.clock(), s.lead.node.term+5, "")
		s.lead.node.becomeLeader(s.lead.clock())
		s.lead.step(Received{Message: &messages.LogMessage{
			From:  string(s.follower.id),
			To:    string(s.lead.id),
			Term:  uint64(s.lead.node.term),
			LogId: s.lead.node.logID,
			Body: &messages.LogMessage_AppendResponse{
				AppendResponse: &messages.AppendResponse{
					Matched: true,
					Index:   uint64(index),
				},
			},
		}}, -1)
		if got := s.lead.node.Commit(); got >= index {
			s.t.Fatalf("commit after a majority holds record %d of an earlier term: got %d, want less", index, got)
		}
	})
}

// Two changes of the voters follow each other before the first is committed. The
// old majority and the new one could then have no voter in common and elect a
// leader each, so the second is refused.
func TestOneMembershipChangeAtATime(t *testing.T) {
	inTrio(t, func(s *trio) {
		s.sever(s.lead, s.follower)
		s.sever(s.lead, s.other)
		wants := []bool{true, false}
		for i, want := range wants {
			next := changed(s.lead.node.membership, change{
				id:   units.VoterID(fmt.Sprintf("c%d#new", 7+i)),
				kind: addLearner,
			})
			before := s.lead.node.LastIndex()
			s.lead.step(Proposed{
				Command: &messages.Command{
					Change: &messages.Command_Membership{
						Membership: next,
					},
				},
			}, -1)
			if got := s.lead.node.LastIndex() > before; got != want {
				s.t.Fatalf("change %d of the membership appended: got %t, want %t", i+1, got, want)
			}
		}
	})
}

// A follower holds records that were never committed and lie behind the place of
// a snapshot that it receives. They contradict the snapshot's log: kept, they
// would count as a match of records that the leader never had.
func TestSnapshotDropsContradictingRecords(t *testing.T) {
	inTrio(t, func(s *trio) {
		s.sever(s.lead, s.follower)
		s.sever(s.lead, s.other)
		for version := uint64(2); version <= 6; version++ {
			s.submit(s.lead, version, "operator-1")
		}
		index := s.lead.node.LastIndex() - 2
		content, err := proto.Marshal(&messages.LogSnapshot{
			Index:      uint64(index),
			Term:       uint64(s.lead.node.term + 3),
			Membership: s.lead.node.membership,
			LogId:      s.lead.node.logID,
		})
		if err != nil {
			s.t.Fatal(err)
		}
		s.lead.step(Received{Message: &messages.LogMessage{
			From:  string(s.follower.id),
			To:    string(s.lead.id),
			Term:  uint64(s.lead.node.term + 4),
			LogId: s.lead.node.logID,
			Body: &messages.LogMessage_SnapshotPiece{
				SnapshotPiece: &messages.SnapshotPiece{
					Index:    uint64(index),
					Size:     uint64(len(content)),
					Checksum: xxhash.Sum64(content),
					Content:  content,
				},
			},
		}}, -1)
		if got := s.lead.node.LastIndex(); got != index {
			s.t.Fatalf("last index after the snapshot: got %d, want %d", got, index)
		}
	})
}

// An instance of another log reaches a voter, since an address was used twice.
// Its leader's records would replace those of this log.
func TestMessagesOfAnotherLogAreIgnored(t *testing.T) {
	inTrio(t, func(s *trio) {
		term := s.follower.node.term
		s.follower.step(Received{Message: &messages.LogMessage{
			From:  "x1#life",
			To:    string(s.follower.id),
			Term:  uint64(term + 9),
			LogId: "another",
			Body: &messages.LogMessage_AppendRequest{
				AppendRequest: &messages.AppendRequest{},
			},
		}}, -1)
		if got := s.follower.node.term; got != term {
			s.t.Fatalf("term after a message of another log: got %d, want %d", got, term)
		}
	})
}
