package standin

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	blockBytes    = 256
	// maxCacheEvents bounds the events of each kind in one message; older ones are
	// dropped, which leaves a gap.
	maxCacheEvents = 512
)

// prefixCache is an LRU cache of prompt blocks. It records the blocks that were
// added and removed since the last takeChanges.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	lru       list.List
	added     []uint64
	removed   []uint64
}

// lookup returns how many leading blocks are cached, and marks these as recently used.
func (c *prefixCache) lookup(blocks []uint64) int {
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
		c.lru.MoveToFront(element)
		return
	}
	c.blocks[block] = c.lru.PushFront(block)
	c.added = append(c.added, block)
	if c.lru.Len() <= c.maxBlocks {
		return
	}
	oldest := c.lru.Back()
	evicted, _ := c.lru.Remove(oldest).(uint64)
	delete(c.blocks, evicted)
	c.removed = append(c.removed, evicted)
}

// takeChanges returns the latest blocks that were added and removed since the
// last call, at most maxCacheEvents of each, and forgets the others.
func (c *prefixCache) takeChanges() (added, removed []uint64) {
	added = c.added[max(0, len(c.added)-maxCacheEvents):]
	removed = c.removed[max(0, len(c.removed)-maxCacheEvents):]
	c.added = nil
	c.removed = nil
	return added, removed
}

// promptBlocks returns the chained hash of each complete block of a prompt.
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
