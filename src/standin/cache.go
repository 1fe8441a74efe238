package standin

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	blockBytes    = 256
)

// prefixCache holds the most recently used prompt blocks.
type prefixCache struct {
	most   int
	blocks []uint64
}

// hit returns how many leading blocks are cached, and marks them as used.
func (c *prefixCache) hit(blocks []uint64) int {
	for i, block := range blocks {
		if !slices.Contains(c.blocks, block) {
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
	if i := slices.Index(c.blocks, block); i >= 0 {
		c.blocks = slices.Delete(c.blocks, i, i+1)
	}
	c.blocks = append(c.blocks, block)
	if len(c.blocks) > c.most {
		c.blocks = c.blocks[len(c.blocks)-c.most:]
	}
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
