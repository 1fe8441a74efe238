package dispatcher

import "bytes"

const (
	// minTextChunk and maxTextChunk bound the room that is allocated for text that has not arrived yet.
	minTextChunk = 256
	maxTextChunk = 64 << 10
	// minAdoptedText is the length from which a text becomes a chunk of its own. The room that is left in the chunk
	// before it stays unused, at most a quarter of this.
	minAdoptedText = 4 * maxTextChunk
)

// chunkedText is a text that grows at its end. It is kept in chunks: a single buffer would be copied whole each time that it
// grows, and hold both copies meanwhile.
type chunkedText struct {
	chunks [][]byte
	size   int
}

func newText(content []byte) chunkedText {
	var t chunkedText
	if len(content) > 0 {
		t.chunks = [][]byte{content[:len(content):len(content)]}
		t.size = len(content)
	}
	return t
}

// append adds a copy of content.
func (t *chunkedText) append(content []byte) {
	if last := len(t.chunks) - 1; last >= 0 {
		chunk := t.chunks[last]
		fitting := min(len(content), cap(chunk)-len(chunk))
		t.chunks[last] = append(chunk, content[:fitting]...)
		t.size += fitting
		content = content[fitting:]
	}
	if len(content) == 0 {
		return
	}
	room := max(len(content), min(max(t.size, minTextChunk), maxTextChunk))
	t.chunks = append(t.chunks, append(make([]byte, 0, room), content...))
	t.size += len(content)
}

// adopt adds content that nothing else uses, without a copy if it is long.
func (t *chunkedText) adopt(content []byte) {
	if len(content) < minAdoptedText {
		t.append(content)
		return
	}
	t.chunks = append(t.chunks, content[:len(content):len(content)])
	t.size += len(content)
}

// after returns what follows a position. It is copied only if it lies in several chunks.
func (t *chunkedText) after(position int) []byte {
	first, start := len(t.chunks), t.size
	for first > 0 && start > position {
		first--
		start -= len(t.chunks[first])
	}
	switch chunks := t.chunks[first:]; len(chunks) {
	case 0:
		return nil
	case 1:
		chunk := chunks[0]
		return chunk[position-start : len(chunk) : len(chunk)]
	default:
		return bytes.Join(chunks, nil)[position-start:]
	}
}
