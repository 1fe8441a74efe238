package parser

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// Documents are untrusted input: for any content the parser must return either a
// valid result or problems with positions inside the document, and must not panic.
func checkParseError(t *testing.T, err error, content []byte) {
	t.Helper()
	if err == nil {
		return
	}
	var problems Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("error: got %v, want Problems", err)
	}
	// A lone carriage return ends a line in YAML as well.
	lines := strings.Count(string(content), "\n") + strings.Count(string(content), "\r") + 2
	for _, problem := range problems {
		if problem.Line < 1 || problem.Line > lines || problem.Remedy == "" {
			t.Errorf("problem: got %+v, want a position in the document and a remedy", problem)
		}
	}
}

var edgeCaseDocuments = []string{
	"", "a", "- a", "version: 1", "version: -1", "version: 1\n---\nversion: 2", "&a version: *a", "version: *b",
	"<<: {version: 1}", "version: !!str 1", "brands: [{name: b, hosts: [c]}]\nversion: 1", "? [a]\n: b", "\x00", "a: |\n  b",
	"version: 1\nservices: [{}]", "version: {", "version: 1\nbrands: null", "name: \"\\", "\xef\xbb\xbfversion: 1", "version: 1 #\t\n\t",
	"version: 99999999999999999999", "version: 0x1", "timing: {fence: 9999999h}", "control: [{address: \"[::1]:1\"}]",
}

func FuzzConfiguration(f *testing.F) {
	example, err := os.ReadFile("../../examples/hearthline.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	for _, seed := range edgeCaseDocuments {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		_, err := ParseConfiguration("f", content)
		checkParseError(t, err, content)
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(settingsHead))
	for _, seed := range edgeCaseDocuments {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, role := range []Role{Entry, Control} {
			_, err := ParseSettings("f", content, role)
			checkParseError(t, err, content)
		}
	})
}
