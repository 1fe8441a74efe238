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

// noWorkAfter is how long after its notice an upstream may still get new work.
const noWorkAfter = 2 * time.Second

// modelVersion is the version that every engine of the examples serves.
const modelVersion = "1"

// Truth is what the upstreams really did.
type Truth struct {
	// runs holds when each caller's call began to run, and where.
	runs    map[string][]standin.Line
	leaving map[string]time.Time
	// Recomputed are the tokens that engines computed again for streams that went on.
	Recomputed []standin.Line
}

// RecomputedTokens returns how many tokens engines computed again.
func (t *Truth) RecomputedTokens() int {
	total := 0
	for _, line := range t.Recomputed {
		total += line.Tokens
	}
	return total
}

// ReadTruth reads every journal in a folder.
func ReadTruth(folder string) (*Truth, error) {
	truth := &Truth{
		runs:    make(map[string][]standin.Line),
		leaving: make(map[string]time.Time),
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

func (t *Truth) add(lines []standin.Line) {
	for _, line := range lines {
		switch line.Happening {
		case standin.Started:
			t.runs[line.Reference] = append(t.runs[line.Reference], line)
		case standin.Recomputed:
			t.Recomputed = append(t.Recomputed, line)
		case standin.LeavingBegan:
			t.leaving[line.Upstream] = line.At
		}
	}
}

// Verdict counts what was right and lists what was not.
type Verdict struct {
	Answered int
	// NotRun are calls whose callers were told to come back and gave up.
	NotRun  int
	Unknown int
	Lost    int
	Doubled int
	// Cut are streams that callers saw end early and asked for again. Only an
	// entry that dies or freezes may cut one.
	Cut    int
	Faults []string
	// Refused says what the callers without an answer were told.
	Refused []string
}

// Check compares what callers were told with the truth, after a schedule.
func Check(report *loader.Report, truth *Truth, schedule []Step) *Verdict {
	v := &Verdict{}
	for _, outcome := range report.Outcomes {
		v.count(outcome)
		v.checkRuns(outcome, truth.runs[outcome.Reference])
	}
	v.checkTexts(report)
	v.checkLeaving(truth)
	v.checkCuts(report, schedule)
	return v
}

// checkCuts finds streams that ended early although no entry died or froze.
func (v *Verdict) checkCuts(report *loader.Report, schedule []Step) {
	if slices.ContainsFunc(schedule, func(s Step) bool { return s.Act == KillEntry || s.Act == FreezeEntry }) {
		return
	}
	for _, outcome := range report.Outcomes {
		if outcome.Cuts > 0 {
			v.fault(outcome, "its stream ended early while no entry died: "+outcome.Detail)
		}
	}
}

func (v *Verdict) count(outcome *loader.Outcome) {
	switch outcome.Result {
	case loader.Answered:
		v.Answered++
	case loader.NotRun:
		v.NotRun++
		v.refused(outcome)
	case loader.Unknown:
		v.Unknown++
		v.refused(outcome)
	case loader.Lost:
		v.Lost++
		v.fault(outcome, "no final answer: "+outcome.Detail)
	case loader.Failed:
		v.fault(outcome, "not a whole answer: "+outcome.Detail)
	}
	v.Cut += outcome.Cuts
}

func (v *Verdict) checkRuns(outcome *loader.Outcome, runs []standin.Line) {
	if outcome.Result == loader.Answered && len(runs) == 0 {
		v.fault(outcome, "answered without a run")
	}
	if outcome.Kind != loader.Once {
		return
	}
	if len(runs) > 1 {
		v.Doubled++
		v.fault(outcome, fmt.Sprintf("ran %d times", len(runs)))
	}
	if outcome.Result == loader.NotRun && len(runs) > 0 {
		v.fault(outcome, "refused as not run, but ran at "+runs[0].Upstream)
	}
}

// checkTexts compares the answers to equal prompts, which are equal on every engine.
func (v *Verdict) checkTexts(report *loader.Report) {
	for _, outcome := range report.Outcomes {
		if outcome.Kind != loader.Stream || outcome.Result != loader.Answered {
			continue
		}
		if want := standin.Text(modelVersion, outcome.Prompt, outcome.Seed, outcome.Tokens); string(outcome.Answer) != want {
			v.fault(outcome, "the stream's text is not the one that its prompt gives")
		}
	}
}

func (v *Verdict) checkLeaving(truth *Truth) {
	for reference, runs := range truth.runs {
		for _, run := range runs {
			left, leaving := truth.leaving[run.Upstream]
			if leaving && run.At.After(left.Add(noWorkAfter)) {
				v.Faults = append(v.Faults, fmt.Sprintf("%s: new work at %s %s after its notice",
					reference, run.Upstream, run.At.Sub(left)))
			}
		}
	}
}

func (v *Verdict) refused(outcome *loader.Outcome) {
	v.Refused = append(v.Refused, fmt.Sprintf("%s (%s) after %s and %d sends: %s",
		outcome.Reference, outcome.Workload, outcome.Took.Round(time.Millisecond), outcome.Sends, outcome.Detail))
}

func (v *Verdict) fault(outcome *loader.Outcome, what string) {
	v.Faults = append(v.Faults, fmt.Sprintf("%s (%s, key %s): %s", outcome.Reference, outcome.Workload, outcome.Key, what))
}

// String returns the verdict's counts as one line.
func (v *Verdict) String() string {
	return fmt.Sprintf("answered=%d not-run=%d unknown=%d lost=%d doubled=%d cut=%d faults=%d",
		v.Answered, v.NotRun, v.Unknown, v.Lost, v.Doubled, v.Cut, len(v.Faults))
}
