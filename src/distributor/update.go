package distributor

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxDocuments is how many documents a source keeps to compute differences from.
const maxDocuments = 8

// Source holds the newest configuration and a few earlier ones. It is immutable.
type Source struct {
	documents []versionedDocument
}

type versionedDocument struct {
	version units.Version
	content []byte
}

// With returns a source with a newer document added. A nil source is an empty one.
func (s *Source) With(version units.Version, content []byte) *Source {
	next := &Source{}
	if s != nil {
		next.documents = append(next.documents, s.documents[max(0, len(s.documents)-maxDocuments+1):]...)
	}
	next.documents = append(next.documents, versionedDocument{
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

// Update returns the update for an entry that has the base version, nil if the entry is up to
// date.
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
			omitCommonEnds(update, earlier)
		}
	}
	return update
}

// omitCommonEnds removes from the update's content the prefix and the suffix that the base has in
// common with it.
func omitCommonEnds(update *messages.ConfigurationUpdate, base versionedDocument) {
	content := update.GetContent()
	minLength := min(len(base.content), len(content))
	prefix := 0
	for prefix < minLength && base.content[prefix] == content[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < minLength-prefix && base.content[len(base.content)-1-suffix] == content[len(content)-1-suffix] {
		suffix++
	}
	update.BaseVersion = uint64(base.version)
	update.Prefix = uint64(prefix)
	update.Suffix = uint64(suffix)
	update.Content = content[prefix : len(content)-suffix]
}

// BaseError reports that an update does not apply to the receiver's document.
type BaseError struct {
	Version units.Version
	Base    units.Version
}

// Error includes the remedy.
func (e *BaseError) Error() string {
	return fmt.Sprintf("version %d cannot be formed from version %d; the next heartbeat brings it whole", e.Version, e.Base)
}

// Apply returns the document that results from an update to the receiver's own document, which
// has the given version.
func Apply(version units.Version, own []byte, update *messages.ConfigurationUpdate) ([]byte, error) {
	mismatch := &BaseError{
		Version: units.Version(update.GetVersion()),
		Base:    version,
	}
	content := update.GetContent()
	if update.GetBaseVersion() != 0 {
		prefix, suffix := update.GetPrefix(), update.GetSuffix()
		size := uint64(len(own))
		if units.Version(update.GetBaseVersion()) != version || prefix > size || suffix > size-prefix {
			return nil, mismatch
		}
		content = bytes.Join([][]byte{own[:prefix], content, own[size-suffix:]}, nil)
	}
	sum := sha256.Sum256(content)
	if !bytes.Equal(sum[:], update.GetContentHash()) {
		return nil, mismatch
	}
	return content, nil
}
