package capper

import (
	"errors"
	"io"
)

const (
	// minBuffer is the first buffer of a body whose length is not known, maxFirstBuffer that of one that states a
	// greater length: a length alone causes no allocation of that size.
	minBuffer      = 512
	maxFirstBuffer = 64 << 10
)

// Source is a body to read.
type Source struct {
	Body io.Reader
	// Kind is the part of an answer that the body is.
	Kind Kind
	// Length is what the head states, negative for nothing.
	Length int64
	// Limit is the greatest length in bytes.
	Limit int64
	// Buffer is used for the content if it is not nil. The hold of the answer already contains its capacity.
	Buffer []byte
}

// Account is what the content of a body is added to while it is read.
type Account interface {
	// Grow adds to what is held, or returns why there is no room.
	Grow(bytes int64) error
	// Shrink subtracts from it.
	Shrink(bytes int64)
}

// ReadAll reads a body up to its limit and adds what it takes to hold, which may be nil.
func ReadAll(s Source, hold Account) ([]byte, error) {
	if hold == nil {
		hold = (*Hold)(nil)
	}
	if s.Length > s.Limit {
		return nil, s.exceeded()
	}
	content, err := s.firstBuffer(hold)
	if err != nil {
		return nil, err
	}
	for {
		n, err := s.Body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if int64(len(content)) > s.Limit {
			return content, s.exceeded()
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return content, classify(err)
		}
		if len(content) == cap(content) {
			if content, err = s.enlarge(content, hold); err != nil {
				return content, err
			}
		}
	}
}

// firstBuffer returns the buffer to begin with.
func (s Source) firstBuffer(hold Account) ([]byte, error) {
	if s.Buffer != nil {
		return s.Buffer[:0], nil
	}
	size := int64(minBuffer)
	if s.Length >= 0 {
		size = min(s.Length+1, maxFirstBuffer)
	}
	if err := hold.Grow(size); err != nil {
		return nil, err
	}
	return make([]byte, 0, size), nil
}

// enlarge returns a copy with room for more. Until it is made, the answer holds both.
func (s Source) enlarge(content []byte, hold Account) ([]byte, error) {
	size := min(2*int64(cap(content)), s.Limit+1)
	if s.Length >= 0 {
		size = min(size, s.Length+1)
	}
	if err := hold.Grow(size); err != nil {
		return content, err
	}
	larger := make([]byte, len(content), size)
	copy(larger, content)
	hold.Shrink(int64(cap(content)))
	return larger, nil
}

func (s Source) exceeded() error { return &ExceededError{Kind: s.Kind, Limit: s.Limit} }

// Drain reads the rest of a body without keeping it, so that its connection can be reused. It fails with an
// *ExceededError if the rest is longer than a limit.
func Drain(rest io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(rest, limit+1))
	if err != nil {
		return classify(err)
	}
	if n > limit {
		return &ExceededError{
			Kind:  Rest,
			Limit: limit,
		}
	}
	return nil
}
