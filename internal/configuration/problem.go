package configuration

import (
	"fmt"
	"strings"

	"rockwind.example/rockwind/internal/fault"
)

// MaximumListedProblems is the number of problems of a file that are listed; further
// ones are only counted.
const MaximumListedProblems = 20

// Problem is one error in a configuration or settings file.
type Problem struct {
	// File is the name of the file, or of the variable or flag that set the value.
	File string
	// Line is 1-based; zero means that the position is unknown.
	Line int
	// Column is 1-based.
	Column  int
	Message string
	// Remedy says what to do about it.
	Remedy string
}

// String returns the position, message and remedy on one line.
func (p Problem) String() string {
	var text strings.Builder
	if p.File != "" {
		text.WriteString(p.File)
		text.WriteByte(':')
	}
	if p.Line > 0 {
		fmt.Fprintf(&text, "%d:%d:", p.Line, p.Column)
	}
	if text.Len() > 0 {
		text.WriteByte(' ')
	}
	text.WriteString(p.Message)
	if p.Remedy != "" {
		text.WriteString("; ")
		text.WriteString(p.Remedy)
	}
	return text.String()
}

// Position is a position in a file; the zero value means that it is unknown.
type Position struct {
	// Line and Column are 1-based.
	Line   int
	Column int
	// given is true if the file contains the requested value, and false if this is
	// the position of an enclosing one.
	given bool
}

func (p Position) lineColumn() lineColumn {
	return lineColumn{line: p.Line, column: p.Column}
}

type lineColumn struct {
	line   int
	column int
}

// problemList collects problems up to MaximumListedProblems and counts the rest.
type problemList struct {
	file     string
	problems []Problem
	omitted  int
	// undecodable has the positions of values that could not be decoded, so that
	// they are not also reported as missing or out of range.
	undecodable map[lineColumn]bool
}

func newProblemList(file string) *problemList {
	return &problemList{file: file, undecodable: make(map[lineColumn]bool)}
}

// add adds a problem, unless the value at the position could not be decoded.
func (l *problemList) add(at Position, message, remedy string) {
	if at.given && l.undecodable[at.lineColumn()] {
		return
	}
	if l.full() {
		l.omitted++
		return
	}
	l.problems = append(l.problems, Problem{File: l.file, Line: at.Line, Column: at.Column, Message: message, Remedy: remedy})
}

func (l *problemList) addf(at Position, remedy, format string, arguments ...any) {
	l.add(at, fmt.Sprintf(format, arguments...), remedy)
}

func (l *problemList) empty() bool {
	return len(l.problems) == 0
}

// full reports whether further problems are only counted.
func (l *problemList) full() bool {
	return len(l.problems) >= MaximumListedProblems
}

// result returns the problems, with a last entry that counts the omitted ones.
func (l *problemList) result() []Problem {
	if l.omitted == 0 {
		return l.problems
	}
	rest := Problem{
		File:    l.file,
		Message: fmt.Sprintf("%d more problems are not listed", l.omitted),
		Remedy:  "mend those above and try again",
	}
	return append(l.problems, rest)
}

// ProblemsError returns a fault.InvalidArgument with a line for each problem, or nil
// if there are none.
func ProblemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return fault.New(fault.InvalidArgument, strings.Join(lines, "\n"), "")
}
