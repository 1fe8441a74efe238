package replicator

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// recordLog holds the records of a log that starts at index 1.
type recordLog struct {
	records []*messages.LogRecord
}

func (l *recordLog) lastIndex() units.Index {
	return units.Index(len(l.records))
}

func (l *recordLog) lastTerm() units.Term {
	return l.termAt(l.lastIndex())
}

func (l *recordLog) termAt(index units.Index) units.Term {
	if index == 0 || index > l.lastIndex() {
		return 0
	}
	return units.Term(l.records[index-1].GetTerm())
}

func (l *recordLog) matches(index units.Index, term units.Term) bool {
	return index <= l.lastIndex() && l.termAt(index) == term
}

// olderOrEqual reports whether the candidate's log is at least as new as this one.
func (l *recordLog) olderOrEqual(request *messages.VoteRequest) bool {
	term := units.Term(request.GetLastTerm())
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return units.Index(request.GetLastIndex()) >= l.lastIndex()
}

// unknown drops the leading records that this log already holds.
func (l *recordLog) unknown(records []*messages.LogRecord) []*messages.LogRecord {
	for i, record := range records {
		index := units.Index(record.GetIndex())
		if index > l.lastIndex() || uint64(l.termAt(index)) != record.GetTerm() {
			return records[i:]
		}
	}
	return nil
}

func (l *recordLog) replaceFrom(records []*messages.LogRecord) {
	first := records[0].GetIndex()
	// The capacity is cut too, so that no append writes into an array that an
	// earlier message still refers to.
	l.records = append(l.records[:first-1:first-1], records...)
}

func (l *recordLog) from(index units.Index, most int) []*messages.LogRecord {
	if index > l.lastIndex() {
		return nil
	}
	return l.between(index, min(l.lastIndex(), index+units.Index(most)-1))
}

// between returns the records from first to last, both included.
func (l *recordLog) between(first, last units.Index) []*messages.LogRecord {
	return l.records[first-1 : last]
}
