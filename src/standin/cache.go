package standin

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	blockBytes    = 256
	// maxEvents bounds a message; what does not fit is a gap.
	maxEvents = 512
)

// prefixCache holds the most recently used prompt blocks and what changed
// since it was last asked.
type prefixCache struct {
	most    int
	blocks  map[uint64]*list.Element
	recent  list.List
	added   []uint64
	removed []uint64
}

// hit returns how many leading blocks are cached, and marks them as used.
func (c *prefixCache) hit(blocks []uint64) int {
	for i, block := range blocks {
		if c.blocks[block] == nil {
			return i
		}
		c.touch(block)
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64) {
	for _, block := range blocks {
		c.touch(block)
	}
}

func (c *prefixCache) touch(block uint64) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	if element := c.blocks[block]; element != nil {
		c.recent.MoveToFront(element)
		return
	}
	c.blocks[block] = c.recent.PushFront(block)
	c.added = append(c.added, block)
	if c.recent.Len() <= c.most {
		return
	}
	oldest := c.recent.Back()
	gone, _ := c.recent.Remove(oldest).(uint64)
	delete(c.blocks, gone)
	c.removed = append(c.removed, gone)
}

// changes returns what came and went since the last call, the latest at most.
func (c *prefixCache) changes() (added, removed []uint64) {
	added = c.added[max(0, len(c.added)-maxEvents):]
	removed = c.removed[max(0, len(c.removed)-maxEvents):]
	c.added = nil
	c.removed = nil
	return added, removed
}

// promptBlocks returns the chained hash of each whole block of a prompt.
func promptBlocks(prompt string) []uint64 {
	var blocks []uint64
	var chain [8]byte
	for len(prompt) >= blockBytes {
		digest := xxhash.New()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[:blockBytes])
		blocks = append(blocks, digest.Sum64())
		binary.LittleEndian.PutUint64(chain[:], digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return blocks
}
