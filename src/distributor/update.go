package distributor

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// keptDocuments is how many documents a source holds to form differences from.
const keptDocuments = 8

// Source is the newest configuration with a few earlier ones; it never changes.
type Source struct {
	documents []versioned
}

type versioned struct {
	version units.Version
	content []byte
}

// With returns a source that has a newer document; nil is an empty source.
func (s *Source) With(version units.Version, content []byte) *Source {
	next := &Source{}
	if s != nil {
		next.documents = append(next.documents, s.documents[max(0, len(s.documents)-keptDocuments+1):]...)
	}
	next.documents = append(next.documents, versioned{
		version: version,
		content: content,
	})
	return next
}

// Version returns the newest version, 0 for an empty source.
func (s *Source) Version() units.Version {
	if s == nil || len(s.documents) == 0 {
		return 0
	}
	return s.documents[len(s.documents)-1].version
}

// Update returns what an entry with the base version lacks, nil where it lacks nothing.
func (s *Source) Update(base units.Version) *messages.ConfigurationUpdate {
	if s.Version() <= base {
		return nil
	}
	newest := s.documents[len(s.documents)-1]
	sum := sha256.Sum256(newest.content)
	update := &messages.ConfigurationUpdate{
		Version:     uint64(newest.version),
		Content:     newest.content,
		ContentHash: sum[:],
	}
	for _, earlier := range s.documents {
		if earlier.version == base {
			shorten(update, earlier)
		}
	}
	return update
}

// shorten leaves out what the base has in common at both ends.
func shorten(update *messages.ConfigurationUpdate, base versioned) {
	content := update.GetContent()
	shorter := min(len(base.content), len(content))
	prefix := 0
	for prefix < shorter && base.content[prefix] == content[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && base.content[len(base.content)-1-suffix] == content[len(content)-1-suffix] {
		suffix++
	}
	update.BaseVersion = uint64(base.version)
	update.Prefix = uint64(prefix)
	update.Suffix = uint64(suffix)
	update.Content = content[prefix : len(content)-suffix]
}

// BaseError says that an update does not fit what the receiver has.
type BaseError struct {
	Version units.Version
	Base    units.Version
}

// Error names the remedy.
func (e *BaseError) Error() string {
	return fmt.Sprintf("version %d cannot be formed from version %d; the next heartbeat brings it whole", e.Version, e.Base)
}

// Apply returns the document of an update, given the receiver's own.
func Apply(version units.Version, own []byte, update *messages.ConfigurationUpdate) ([]byte, error) {
	refused := &BaseError{
		Version: units.Version(update.GetVersion()),
		Base:    version,
	}
	content := update.GetContent()
	if update.GetBaseVersion() != 0 {
		prefix, suffix := update.GetPrefix(), update.GetSuffix()
		size := uint64(len(own))
		if units.Version(update.GetBaseVersion()) != version || prefix > size || suffix > size-prefix {
			return nil, refused
		}
		content = bytes.Join([][]byte{own[:prefix], content, own[size-suffix:]}, nil)
	}
	sum := sha256.Sum256(content)
	if !bytes.Equal(sum[:], update.GetContentHash()) {
		return nil, refused
	}
	return content, nil
}
