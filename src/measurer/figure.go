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
	tableFile     = "docs/MEASUREMENTS.md"
	fileMode      = 0o644
	folderMode    = 0o755
)

// Figure is one measured value.
type Figure struct {
	Name  string `yaml:"name"`
	Value string `yaml:"value"`
	// Spread tells how far repeated values lie apart, or how many there were.
	Spread string `yaml:"spread"`
	Aim    string `yaml:"aim"`
}

// Result is what one experiment measured.
type Result struct {
	Experiment string   `yaml:"experiment"`
	What       string   `yaml:"what"`
	Command    string   `yaml:"command"`
	Seed       uint64   `yaml:"seed"`
	Commit     string   `yaml:"commit"`
	Figures    []Figure `yaml:"figures"`
	// Note says what a reader must know to trust the figures.
	Note string `yaml:"note"`
	// Plots are files beside the results.
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

// Save keeps a result below the repository's root and renders the table anew.
func Save(root string, result *Result) error {
	folder := filepath.Join(root, resultsFolder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("make the folder of results: %w", err)
	}
	content, err := yaml.Marshal(result)
	if err != nil {
		return fmt.Errorf("form the result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, result.Experiment+".yaml"), content, fileMode); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return Render(root)
}

// Render writes the table of all kept results.
func Render(root string) error {
	files, err := filepath.Glob(filepath.Join(root, resultsFolder, "*.yaml"))
	if err != nil {
		return err
	}
	slices.Sort(files)
	var page strings.Builder
	page.WriteString(preamble)
	var failures error
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read a result: %w", err)
		}
		result := &Result{}
		if err := yaml.Unmarshal(content, result); err != nil {
			failures = errors.Join(failures, fmt.Errorf("read %s: %w", file, err))
			continue
		}
		result.write(&page)
	}
	return errors.Join(failures, os.WriteFile(filepath.Join(root, tableFile), []byte(page.String()), fileMode))
}

const preamble = `# Measurements

` + "`make measure`" + ` runs the experiments on this machine and rewrites this page;
` + "`bin/measure NAME`" + ` runs one. All load is on loopback, from stand-ins and programs
of this repository. Figures belong to the commit named beside them.
`

func (r *Result) write(page *strings.Builder) {
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
