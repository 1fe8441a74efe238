package injector

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/standin"
)

// newWorkGrace is how long after its notice an upstream may still receive new calls.
const newWorkGrace = 2 * time.Second

// exampleModelVersion is the model version that all engines of the example deployments serve.
const exampleModelVersion = "1"

// GroundTruth is what the upstreams actually did, according to their journals.
type GroundTruth struct {
	// runs holds the starts of each call, with the upstream, by the caller's reference.
	runs map[string][]standin.JournalEvent
	// noticedAt is when each upstream received its notice.
	noticedAt map[string]time.Time
	// Recomputed holds the events of tokens computed again for retried or resumed calls.
	Recomputed []standin.JournalEvent
}

// RecomputedTokens returns the total number of recomputed tokens.
func (t *GroundTruth) RecomputedTokens() int {
	total := 0
	for _, line := range t.Recomputed {
		total += line.Tokens
	}
	return total
}

// ReadGroundTruth reads every journal in a folder.
func ReadGroundTruth(folder string) (*GroundTruth, error) {
	truth := &GroundTruth{
		runs:      make(map[string][]standin.JournalEvent),
		noticedAt: make(map[string]time.Time),
	}
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("read the journals: %w", err)
	}
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".journal") {
			continue
		}
		lines, err := standin.ReadJournal(filepath.Join(folder, file.Name()))
		if err != nil {
			return nil, err
		}
		truth.add(lines)
	}
	return truth, nil
}

func (t *GroundTruth) add(lines []standin.JournalEvent) {
	for _, line := range lines {
		switch line.Kind {
		case standin.CallStarted:
			t.runs[line.Reference] = append(t.runs[line.Reference], line)
		case standin.TokensRecomputed:
			t.Recomputed = append(t.Recomputed, line)
		case standin.NoticeReceived:
			t.noticedAt[line.Upstream] = line.At
		}
	}
}

// Verdict counts the results of the calls and lists the violations.
type Verdict struct {
	Answered int
	// NotRun counts calls that were still refused as not run at their last attempt.
	NotRun        int
	Unknown       int
	Lost          int
	DuplicateRuns int
	// CutStreams counts streams that ended early at the caller and were requested
	// again. Only an entry that dies or freezes may cause one.
	CutStreams int
	Violations []string
	// Refused describes the last refusal of each call that was refused in the end.
	Refused []string
}

// Check compares the outcomes that callers observed under a schedule with what the
// upstreams actually did.
func Check(report *loader.Report, truth *GroundTruth, schedule []ScheduledFault) *Verdict {
	v := &Verdict{}
	for _, outcome := range report.Outcomes {
		v.countOutcome(outcome)
		v.checkRuns(outcome, truth.runs[outcome.Reference])
	}
	v.checkTexts(report)
	v.checkLeaving(truth)
	v.checkCuts(report, schedule)
	return v
}

// checkCuts reports streams that ended early although the schedule kills or
// freezes no entry.
func (v *Verdict) checkCuts(report *loader.Report, schedule []ScheduledFault) {
	if slices.ContainsFunc(schedule, func(s ScheduledFault) bool { return s.Kind == KillEntry || s.Kind == FreezeEntry }) {
		return
	}
	for _, outcome := range report.Outcomes {
		if outcome.Cuts > 0 {
			v.addFault(outcome, "its stream ended early while no entry died: "+outcome.Detail)
		}
	}
}

func (v *Verdict) countOutcome(outcome *loader.Outcome) {
	switch outcome.Result {
	case loader.Answered:
		v.Answered++
	case loader.NotRun:
		v.NotRun++
		v.addRefusal(outcome)
	case loader.Unknown:
		v.Unknown++
		v.addRefusal(outcome)
	case loader.Lost:
		v.Lost++
		v.addFault(outcome, "no final answer: "+outcome.Detail)
	case loader.Failed:
		v.addFault(outcome, "not a whole answer: "+outcome.Detail)
	}
	v.CutStreams += outcome.Cuts
}

func (v *Verdict) checkRuns(outcome *loader.Outcome, runs []standin.JournalEvent) {
	if outcome.Result == loader.Answered && len(runs) == 0 {
		v.addFault(outcome, "answered without a run")
	}
	if outcome.Kind != loader.NonRepeatable {
		return
	}
	if len(runs) > 1 {
		v.DuplicateRuns++
		v.addFault(outcome, fmt.Sprintf("ran %d times", len(runs)))
	}
	if outcome.Result == loader.NotRun && len(runs) > 0 {
		v.addFault(outcome, "refused as not run, but ran at "+runs[0].Upstream)
	}
}

// checkTexts compares the text of each stream with the one that every engine
// generates for its prompt and seed.
func (v *Verdict) checkTexts(report *loader.Report) {
	for _, outcome := range report.Outcomes {
		if outcome.Kind != loader.Stream || outcome.Result != loader.Answered {
			continue
		}
		if want := standin.ExpectedText(exampleModelVersion, outcome.Prompt, outcome.Seed, outcome.Tokens); string(outcome.Answer) != want {
			v.addFault(outcome, "the stream's text is not the one that its prompt gives")
		}
	}
}

func (v *Verdict) checkLeaving(truth *GroundTruth) {
	for reference, runs := range truth.runs {
		for _, run := range runs {
			noticedAt, noticed := truth.noticedAt[run.Upstream]
			if noticed && run.At.After(noticedAt.Add(newWorkGrace)) {
				v.Violations = append(v.Violations, fmt.Sprintf("%s: new work at %s %s after its notice",
					reference, run.Upstream, run.At.Sub(noticedAt)))
			}
		}
	}
}

func (v *Verdict) addRefusal(outcome *loader.Outcome) {
	v.Refused = append(v.Refused, fmt.Sprintf("%s (%s) after %s and %d sends: %s",
		outcome.Reference, outcome.Workload, outcome.Latency.Round(time.Millisecond), outcome.Attempts, outcome.Detail))
}

func (v *Verdict) addFault(outcome *loader.Outcome, detail string) {
	v.Violations = append(v.Violations, fmt.Sprintf("%s (%s, key %s): %s", outcome.Reference, outcome.Workload, outcome.Key, detail))
}

// String returns the verdict's counts as one line.
func (v *Verdict) String() string {
	return fmt.Sprintf("answered=%d not-run=%d unknown=%d lost=%d doubled=%d cut=%d faults=%d",
		v.Answered, v.NotRun, v.Unknown, v.Lost, v.DuplicateRuns, v.CutStreams, len(v.Violations))
}
