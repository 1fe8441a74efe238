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

// threeVoters is a log of three voters whose first leader has accepted version 1.
type threeVoters struct {
	*cluster
	firstLeader, follower, other *member
}

// runWithThreeVoters runs a scenario several times, with other random election delays.
func runWithThreeVoters(t *testing.T, scenario func(*threeVoters)) {
	for round := range 12 {
		s := &threeVoters{cluster: newCluster(t, 3, 3)}
		s.runWithoutFaults(200 + 5*round)
		s.firstLeader = s.leader()
		if s.firstLeader == nil {
			t.Fatal("no leader after two seconds without faults")
		}
		var rest []*member
		for _, m := range s.members {
			if m != s.firstLeader {
				rest = append(rest, m)
			}
		}
		s.follower, s.other = rest[0], rest[1]
		s.submit(s.firstLeader, 1, "operator-1")
		s.runWithoutFaults(20)
		scenario(s)
	}
}

func (t *threeVoters) cutBothWays(a, b *member) {
	t.cutLinks[[2]units.Instance{a.name, b.name}] = true
	t.cutLinks[[2]units.Instance{b.name, a.name}] = true
}

// runWithSubmissions lets time pass while operators submit to any other member that
// considers itself the leader.
func (t *threeVoters) runWithSubmissions(count int) {
	for i := range count {
		t.runWithoutFaults(1)
		for _, m := range []*member{t.follower, t.other} {
			if m.running() && m.isLeader {
				t.submit(m, uint64(10+i), "operator-2")
			}
		}
	}
}

// A silent partition separates one voter from the leader, and then the leader from
// the other voter as well. If the first won an election immediately and accepted a
// change, the old leader would answer operators with older state while its lease runs.
// So a voter that had contact with the leader within the lease refuses its vote, even
// after a restart in between, and a lease starts when the heartbeat is sent.
func TestNoElectionWithinALease(t *testing.T) {
	cases := map[string]func(*threeVoters){
		"voter that hears the leader": func(s *threeVoters) {
			s.other.node.electionDeadline = s.other.clock()
			s.cutBothWays(s.firstLeader, s.follower)
		},
		"restarted voter": func(s *threeVoters) {
			s.follower.node = nil
			s.follower.start(3)
			s.other.node.electionDeadline = s.other.clock()
			s.cutBothWays(s.firstLeader, s.follower)
		},
		"both voters restarted": func(s *threeVoters) {
			for _, m := range []*member{s.follower, s.other} {
				m.node = nil
				m.start(3)
			}
			s.cutBothWays(s.firstLeader, s.follower)
		},
		"late answer of a voter": func(s *threeVoters) {
			s.follower.step(Ticked{}, -1)
			s.tick(testHeartbeat)
			var answers []*messages.LogMessage
			for _, message := range s.inFlight {
				if message.GetTo() != string(s.follower.id) {
					continue
				}
				sent := len(s.inFlight)
				s.deliverMessage(message, -1)
				answers = append(answers, s.inFlight[sent:]...)
			}
			s.inFlight = nil
			s.cutBothWays(s.firstLeader, s.follower)
			s.other.node.electionDeadline = s.other.clock().Add(510 * time.Millisecond)
			s.runWithoutFaults(34)
			for _, answer := range answers {
				s.firstLeader.step(MessageReceived{Message: answer}, -1)
			}
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			runWithThreeVoters(t, func(s *threeVoters) {
				s.cutBothWays(s.firstLeader, s.other)
				s.runWithoutFaults(40)
				prepare(s)
				s.runWithSubmissions(60)
			})
		})
	}
}

// All voters are killed at the same time and restart one after the other. Callers get
// no answer until there is a leader, so the voters must not wait for an election
// timeout before they elect one.
func TestLeaderSoonAfterAllHaveStarted(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		for _, m := range s.members {
			m.node = nil
		}
		s.inFlight = nil
		for _, m := range s.members {
			s.runWithoutFaults(10)
			m.start(3)
		}
		s.runWithoutFaults(15)
		if s.leader() == nil {
			t.Errorf("leader 150 ms after the last voter has started: got none, want one")
		}
		s.runWithoutFaults(100)
		s.checkLeaderVersions()
	})
}

// All voters are killed at the same time, and one restarts with an empty disk. It cannot
// announce that it has had no contact with a leader since, and callers would wait for an
// election timeout. Its new identity on the same instance proves that the old one has ended.
func TestLeaderSoonAfterAllHaveStartedAndADiskIsLost(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		for _, m := range s.members {
			m.node = nil
		}
		s.inFlight = nil
		s.other.loseDisk()
		for _, m := range s.members {
			s.runWithoutFaults(10)
			m.start(3)
		}
		s.runWithoutFaults(20)
		if s.leader() == nil {
			t.Errorf("leader 200 ms after the last process has started: got none, want one")
		}
		s.runWithoutFaults(100)
		s.checkLeaderVersions()
	})
}

// A message that a voter has been replaced was delayed since an earlier start, and the
// voter that it refers to may lead by now. It must be ignored, or that voter's lease
// and the next leader's overlap.
func TestStaleReplacedAnswerIsIgnored(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		s.follower.node = nil
		s.inFlight = nil
		s.follower.start(3)
		s.follower.step(MessageReceived{Message: &messages.LogMessage{
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
			t.Errorf("voters recorded as replaced: got %d, want none", got)
		}
	})
}

// All voters have entered a term and restart, and none holds a record of it. Its leader
// may be unknown to them, added by a record that they lack, and its lease may still run.
// So they wait for an election timeout as after any other start.
func TestStartsInATermWithoutARecordGiveNoEarlyVote(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		for _, m := range s.members {
			m.node = nil
			m.disk.State = proto.CloneOf(m.disk.State)
			m.disk.State.Term++
			m.disk.State.VotedFor = ""
		}
		s.inFlight = nil
		for _, m := range s.members {
			m.start(3)
		}
		s.runWithoutFaults(45)
		if leader := s.leader(); leader != nil {
			t.Errorf("leader within an election timeout of the start: got %s, want none", leader.id)
		}
		s.runWithoutFaults(200)
		if s.leader() == nil {
			t.Error("no leader two seconds after the start")
		}
	})
}

// All voters restart, one of them with a log that lacks the last record. A voter that
// has it must be elected, without additional delay.
func TestShorterLogDoesNotLeadAfterAllHaveStarted(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		s.cutBothWays(s.firstLeader, s.other)
		s.cutBothWays(s.follower, s.other)
		s.submit(s.firstLeader, 2, "operator-1")
		s.runWithoutFaults(10)
		for _, m := range s.members {
			m.node = nil
		}
		s.inFlight = nil
		clear(s.cutLinks)
		for _, m := range s.members {
			m.start(3)
		}
		s.runWithoutFaults(25)
		switch s.leader() {
		case nil:
			t.Errorf("leader 250 ms after all have started: got none, want one")
		case s.other:
			t.Errorf("leader: got %s, which lacks a record, want another", s.other.id)
		}
	})
}

// A voter grants its vote, crashes and restarts. A second candidate requests a vote in
// the same term; a second vote would give two leaders a majority.
func TestVoteOutlivesACrash(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		s.tick(2 * time.Second)
		s.inFlight = nil
		term := s.follower.node.term + 5
		if got := s.requestVote(s.firstLeader, term); !got {
			s.t.Fatal("first vote of the term: got a refusal, want a grant")
		}
		s.follower.node = nil
		s.follower.start(3)
		s.now = s.now.Add(2 * time.Second)
		if got := s.requestVote(s.other, term); got {
			s.t.Fatal("second vote of the term after a crash: got a grant, want a refusal")
		}
	})
}

// requestVote requests the follower's vote and reports whether it was granted.
func (t *threeVoters) requestVote(candidate *member, term units.Term) bool {
	sent := len(t.inFlight)
	t.follower.step(MessageReceived{Message: &messages.LogMessage{
		From:  string(candidate.id),
		To:    string(t.follower.id),
		Term:  uint64(term),
		LogId: t.follower.node.logID,
		Body: &messages.LogMessage_VoteRequest{
			VoteRequest: &messages.VoteRequest{
				LastIndex: 1000,
				LastTerm:  uint64(term),
			},
		},
	}}, -1)
	for _, message := range t.inFlight[sent:] {
		if message.GetVoteResponse().GetGranted() {
			return true
		}
	}
	return false
}

// The voter with the most up-to-date log is behind in term, and the other one, whose
// log is older, has seen a higher term. Neither can be elected unless the first adopts
// the higher term: operators would wait forever although a majority runs.
func TestNewestLogAdoptsHigherTerm(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		s.cutBothWays(s.firstLeader, s.follower)
		s.cutBothWays(s.firstLeader, s.other)
		s.submit(s.firstLeader, 2, "operator-1")
		s.other.node = nil
		s.runWithoutFaults(120)
		s.requestVote(s.other, s.follower.node.term+5)
		s.follower.node.votedFor = s.other.id
		clear(s.cutLinks)
		s.runWithoutFaults(800)
		if s.leader() == nil {
			s.t.Fatal("leader among the two that run: got none, want one")
		}
	})
}

// A leader appends a record that does not reach a majority, restarts and is elected in
// a later term. A majority then holds the old record, but no record of the new term
// yet. A third voter with a higher term in its log could still replace the old record,
// so that a change considered committed would be lost.
func TestRecordOfEarlierTermCommitsNothing(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		s.cutBothWays(s.firstLeader, s.follower)
		s.cutBothWays(s.firstLeader, s.other)
		s.submit(s.firstLeader, 2, "operator-1")
		index := s.firstLeader.node.LastIndex()
		s.firstLeader.node = nil
		s.firstLeader.start(3)
		s.firstLeader.node.becomeFollower(s.firstLeader.clock(), s.firstLeader.node.term+5, "")
		s.firstLeader.node.becomeLeader(s.firstLeader.clock())
		s.firstLeader.step(MessageReceived{Message: &messages.LogMessage{
			From:  string(s.follower.id),
			To:    string(s.firstLeader.id),
			Term:  uint64(s.firstLeader.node.term),
			LogId: s.firstLeader.node.logID,
			Body: &messages.LogMessage_AppendResponse{
				AppendResponse: &messages.AppendResponse{
					Matched: true,
					Index:   uint64(index),
				},
			},
		}}, -1)
		if got := s.firstLeader.node.Commit(); got >= index {
			s.t.Fatalf("commit after a majority holds record %d of an earlier term: got %d, want less", index, got)
		}
	})
}

// A second change of the voters is proposed before the first is committed. The old
// majority and the new one could then have no voter in common and elect a leader
// each, so the second change is refused.
func TestOneMembershipChangeAtATime(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		s.cutBothWays(s.firstLeader, s.follower)
		s.cutBothWays(s.firstLeader, s.other)
		wants := []bool{true, false}
		for i, want := range wants {
			next := changeMembership(s.firstLeader.node.membership, membershipChange{
				id:   units.VoterID(fmt.Sprintf("c%d#new", 7+i)),
				kind: addLearner,
			})
			before := s.firstLeader.node.LastIndex()
			s.firstLeader.step(Proposed{
				Command: &messages.Command{
					Change: &messages.Command_Membership{
						Membership: next,
					},
				},
			}, -1)
			if got := s.firstLeader.node.LastIndex() > before; got != want {
				s.t.Fatalf("change %d of the membership appended: got %t, want %t", i+1, got, want)
			}
		}
	})
}

// A follower holds records that were never committed, with indexes after that of a
// snapshot that it receives. They contradict the snapshot's log: if they were kept,
// they would count as a match of records that the leader never had.
func TestSnapshotDropsContradictingRecords(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		s.cutBothWays(s.firstLeader, s.follower)
		s.cutBothWays(s.firstLeader, s.other)
		for version := uint64(2); version <= 6; version++ {
			s.submit(s.firstLeader, version, "operator-1")
		}
		index := s.firstLeader.node.LastIndex() - 2
		content, err := proto.Marshal(&messages.LogSnapshot{
			Index:      uint64(index),
			Term:       uint64(s.firstLeader.node.term + 3),
			Membership: s.firstLeader.node.membership,
			LogId:      s.firstLeader.node.logID,
		})
		if err != nil {
			s.t.Fatal(err)
		}
		s.firstLeader.step(MessageReceived{Message: &messages.LogMessage{
			From:  string(s.follower.id),
			To:    string(s.firstLeader.id),
			Term:  uint64(s.firstLeader.node.term + 4),
			LogId: s.firstLeader.node.logID,
			Body: &messages.LogMessage_SnapshotPiece{
				SnapshotPiece: &messages.SnapshotPiece{
					Index:    uint64(index),
					Size:     uint64(len(content)),
					Checksum: xxhash.Sum64(content),
					Content:  content,
				},
			},
		}}, -1)
		if got := s.firstLeader.node.LastIndex(); got != index {
			s.t.Fatalf("last index after the snapshot: got %d, want %d", got, index)
		}
	})
}

// A message from a leader of another log reaches a voter, because an address is in use
// twice. That leader's records would replace those of this log.
func TestMessagesOfAnotherLogAreIgnored(t *testing.T) {
	runWithThreeVoters(t, func(s *threeVoters) {
		term := s.follower.node.term
		s.follower.step(MessageReceived{Message: &messages.LogMessage{
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

// Guards against a log without a majority after an instance has lost its disk twice, the second
// time soon after it came back: the identity that was lost first and the new one were both voters.
func TestDiskLostAgainSoonAfterTheReturn(t *testing.T) {
	for delay := range 60 {
		s := &threeVoters{cluster: newCluster(t, 3, 3)}
		s.runWithoutFaults(200)
		s.firstLeader = s.leader()
		if s.firstLeader == nil {
			t.Fatal("no leader after two seconds without faults")
		}
		for _, m := range s.members {
			if m != s.firstLeader {
				s.other = m
			}
		}
		s.submit(s.firstLeader, 1, "operator-1")
		s.runWithoutFaults(20)
		s.other.node = nil
		s.other.loseDisk()
		s.runWithoutFaults(30)
		s.other.start(3)
		s.runWithoutFaults(delay)
		s.other.node = nil
		s.other.loseDisk()
		s.runWithoutFaults(300)
		if s.leader() == nil {
			t.Errorf("leader after the second loss, %d ms after the return: got none, want one", 10*delay)
		}
	}
}
