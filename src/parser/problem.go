package parser

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	File   string
	Line   int
	Column int
	// Path locates the value in the document, such as "services[0].route".
	Path  string
	Value string
	// Allowed describes the valid values.
	Allowed string
	// Remedy describes how to correct the document.
	Remedy string
}

// Error returns the problem as one line that begins with its position.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %q is not allowed: %s; %s",
		p.File, p.Line, p.Column, p.Path, p.Value, p.Allowed, p.Remedy)
}

// Problems is the list of all errors in one document.
type Problems []*Problem

// Error returns one line per problem, in the order of the document.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// err returns the problems sorted by position, or nil if there are none.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b *Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return p
}
