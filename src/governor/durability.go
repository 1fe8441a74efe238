package governor

import (
	"fmt"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/replicator"
)

// durability holds back acknowledgements while the log has too few voters to survive the loss of as many disks as the
// settings tolerate. The log begins with the seeds alone; the others join within some tenths of a second, unless they are
// late. Only the coordinator's goroutine uses it.
type durability struct {
	node *replicator.Node
	log  zerolog.Logger
	// voters is the number of voters that the log is to have, at which a majority remains after the tolerated losses.
	voters int
	// reached is set once the log has had enough of them.
	reached bool
	// held receive their replies once it is reached.
	held  []chan<- declareReply
	fault standingFault
}

// accept replies that a change is accepted, once the change survives the loss of disks.
func (d *durability) accept(reply chan<- declareReply) {
	if d.isReached() {
		reply <- declareReply{accepted: true}
		return
	}
	d.held = append(d.held, reply)
}

// tick sends the replies that are due.
func (d *durability) tick() {
	if len(d.held) == 0 {
		return
	}
	if !d.isReached() {
		d.fault.record(d.log, "acknowledgements-held", fmt.Errorf(
			"the log has %d voters, and the tolerated loss of disks calls for %d; start more control instances, or tolerate fewer losses", d.node.CommittedVoters(), d.needed()))
		return
	}
	d.fault.record(d.log, "acknowledgements-held", nil)
	for _, reply := range d.held {
		reply <- declareReply{accepted: true}
	}
	d.held = nil
}

// needed returns the number of voters from which the tolerated losses leave a quorum. That is one fewer than is wanted, as
// half of an even number may be lost; a deployment thus acknowledges changes though one of its instances does not come up.
func (d *durability) needed() int { return max(1, d.voters-1) }

func (d *durability) isReached() bool {
	d.reached = d.reached || d.node.CommittedVoters() >= d.needed()
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
