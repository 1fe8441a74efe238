package replicator

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// recordLog holds the records after a base index; a snapshot covers those up to it.
type recordLog struct {
	base     units.Index
	baseTerm units.Term
	records  []*messages.LogRecord
}

func (l *recordLog) lastIndex() units.Index {
	return l.base + units.Index(len(l.records))
}

func (l *recordLog) lastTerm() units.Term {
	return l.termAt(l.lastIndex())
}

// termAt returns a record's term, or 0 for a record that was compacted away or is
// not in the log yet.
func (l *recordLog) termAt(index units.Index) units.Term {
	if index == l.base {
		return l.baseTerm
	}
	if index < l.base || index > l.lastIndex() {
		return 0
	}
	return units.Term(l.at(index).GetTerm())
}

func (l *recordLog) at(index units.Index) *messages.LogRecord {
	return l.records[index-l.base-1]
}

// matches reports whether the record at index has this term. Records before the
// base are committed and therefore the same in every log.
func (l *recordLog) matches(index units.Index, term units.Term) bool {
	if index < l.base {
		return true
	}
	return index <= l.lastIndex() && l.termAt(index) == term
}

// isCandidateUpToDate reports whether the candidate's log is at least as up to
// date as this one.
func (l *recordLog) isCandidateUpToDate(request *messages.VoteRequest) bool {
	term := units.Term(request.GetLastTerm())
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return units.Index(request.GetLastIndex()) >= l.lastIndex()
}

// withoutKnown returns records without the leading ones that this log already holds.
func (l *recordLog) withoutKnown(records []*messages.LogRecord) []*messages.LogRecord {
	for i, record := range records {
		if !l.matches(units.Index(record.GetIndex()), units.Term(record.GetTerm())) {
			return records[i:]
		}
	}
	return nil
}

// conflictIndex returns the first index of the term of the record at index, so that
// a leader skips a whole term in one round trip.
func (l *recordLog) conflictIndex(index units.Index) units.Index {
	if index > l.lastIndex() {
		return l.lastIndex() + 1
	}
	term := l.termAt(index)
	for index > l.base+1 && l.termAt(index-1) == term {
		index--
	}
	return index
}

func (l *recordLog) replaceFrom(records []*messages.LogRecord) {
	kept := units.Index(records[0].GetIndex()) - l.base - 1
	// The capacity is limited too, so that append does not write into an array
	// that an earlier message still refers to.
	l.records = append(l.records[:kept:kept], records...)
}

// compact drops the records up to index.
func (l *recordLog) compact(index units.Index) {
	if index <= l.base {
		return
	}
	term := l.termAt(index)
	// Copying releases the array that holds the dropped records.
	l.records = append([]*messages.LogRecord(nil), l.records[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// recordsFrom returns the records from index on, up to maxCount records and maxBytes
// bytes, but at least one if there is one.
func (l *recordLog) recordsFrom(index units.Index, maxCount, maxBytes int) []*messages.LogRecord {
	if index > l.lastIndex() {
		return nil
	}
	last := min(l.lastIndex(), index+units.Index(maxCount)-1)
	size := 0
	for i := index; i <= last; i++ {
		size += proto.Size(l.at(i))
		if size > maxBytes && i > index {
			last = i - 1
			break
		}
	}
	return l.between(index, last)
}

// between returns the records from first to last, inclusive.
func (l *recordLog) between(first, last units.Index) []*messages.LogRecord {
	return l.records[first-l.base-1 : last-l.base]
}

func (l *recordLog) header() *messages.RecordsHeader {
	return &messages.RecordsHeader{
		BaseIndex: uint64(l.base),
		BaseTerm:  uint64(l.baseTerm),
	}
}
