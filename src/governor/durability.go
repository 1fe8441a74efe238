package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/replicator"
)

// foundingTimeout is how long after its start an instance waits for the log to have all its voters. It
// is several times as long as the first instances of a system take to find each other, and passes
// where there are fewer instances than the log should have voters.
const foundingTimeout = 2500 * time.Millisecond

// durability holds back acknowledgements while the log has too few voters to survive the loss of as
// many disks as the settings tolerate. The log begins with the seeds alone; the others join within some
// tenths of a second. Only the coordinator's goroutine uses it.
type durability struct {
	node      *replicator.Node
	voters    int
	startedAt time.Time
	// reached is set once the log has had all its voters, or foundingTimeout has passed.
	reached bool
	// held receive their replies once it is reached.
	held []chan<- declareReply
}

// accept replies that a change is accepted, once the change survives the loss of disks.
func (d *durability) accept(now time.Time, reply chan<- declareReply) {
	if d.isReached(now) {
		reply <- declareReply{accepted: true}
		return
	}
	d.held = append(d.held, reply)
}

// tick sends the replies that are due.
func (d *durability) tick(now time.Time) {
	if len(d.held) == 0 || !d.isReached(now) {
		return
	}
	for _, reply := range d.held {
		reply <- declareReply{accepted: true}
	}
	d.held = nil
}

func (d *durability) isReached(now time.Time) bool {
	d.reached = d.reached || d.node.CommittedVoters() >= d.voters || now.Sub(d.startedAt) >= foundingTimeout
	return d.reached
}

// release replies that the held changes may or may not have been accepted, as this instance no longer
// leads.
func (d *durability) release(leader string) {
	for _, reply := range d.held {
		reply <- declareReply{leader: leader}
	}
	d.held = nil
}
