package measurer

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

const (
	resultsFolder = "docs/measurements"
	pageFile      = "docs/MEASUREMENTS.md"
	fileMode      = 0o644
	folderMode    = 0o755
)

// Figure is one measured value.
type Figure struct {
	Name  string `yaml:"name"`
	Value string `yaml:"value"`
	// Spread is the variation of repeated values, the number of samples or a remark on them.
	Spread string `yaml:"spread"`
	// Aim is the target for the value, empty where there is none.
	Aim string `yaml:"aim"`
}

// Result holds the figures of one experiment and what is needed to reproduce them.
type Result struct {
	Experiment string `yaml:"experiment"`
	// What describes the experiment and its conditions.
	What    string   `yaml:"what"`
	Command string   `yaml:"command"`
	Seed    uint64   `yaml:"seed"`
	Commit  string   `yaml:"commit"`
	Figures []Figure `yaml:"figures"`
	// Note states the limitations of the figures.
	Note string `yaml:"note"`
	// Plots are the names of SVG files in the folder of results.
	Plots []string `yaml:"plots"`
}

// Add appends a figure.
func (r *Result) Add(name, value, spread, aim string) {
	r.Figures = append(r.Figures, Figure{
		Name:   name,
		Value:  value,
		Spread: spread,
		Aim:    aim,
	})
}

// Save stores a result below the repository's root, in place of the experiment's
// previous one, and renders the page again.
func Save(root string, result *Result) error {
	folder := filepath.Join(root, resultsFolder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create the results folder: %w", err)
	}
	content, err := yaml.Marshal(result)
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, result.Experiment+".yaml"), content, fileMode); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return Render(root)
}

// Render writes docs/MEASUREMENTS.md from all stored results; a result that can't be
// decoded is left out of the page and reported in the error.
func Render(root string) error {
	files, err := filepath.Glob(filepath.Join(root, resultsFolder, "*.yaml"))
	if err != nil {
		return err
	}
	slices.Sort(files)
	var page strings.Builder
	page.WriteString(preamble)
	var readErrors error
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read a stored result: %w", err)
		}
		result := &Result{}
		if err := yaml.Unmarshal(content, result); err != nil {
			readErrors = errors.Join(readErrors, fmt.Errorf("decode %s: %w", file, err))
			continue
		}
		result.writeTo(&page)
	}
	return errors.Join(readErrors, os.WriteFile(filepath.Join(root, pageFile), []byte(page.String()), fileMode))
}

const preamble = `# Measurements

` + "`make measure`" + ` runs the experiments on this machine and rewrites this page;
` + "`bin/measure NAME`" + ` runs one. All load is on loopback, from stand-ins and programs
of this repository. Figures belong to the commit named beside them.
`

func (r *Result) writeTo(page *strings.Builder) {
	fmt.Fprintf(page, "\n## %s\n\n%s\n\n", r.Experiment, r.What)
	fmt.Fprintf(page, "Command `%s`, seed %d, commit %s.\n\n", r.Command, r.Seed, r.Commit)
	page.WriteString("| figure | measured | spread | aim |\n|---|---|---|---|\n")
	for _, figure := range r.Figures {
		fmt.Fprintf(page, "| %s | %s | %s | %s |\n", figure.Name, figure.Value, figure.Spread, figure.Aim)
	}
	if r.Note != "" {
		fmt.Fprintf(page, "\n%s\n", r.Note)
	}
	for _, plot := range r.Plots {
		fmt.Fprintf(page, "\n![%s](measurements/%s)\n", strings.TrimSuffix(plot, ".svg"), plot)
	}
}
