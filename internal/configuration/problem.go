package configuration

import (
	"fmt"
	"strings"

	"rockwind.example/rockwind/internal/fault"
)

// MaximumListedProblems is how many problems of one file are listed; the rest is
// counted.
const MaximumListedProblems = 20

// Problem is one fault of a configuration or settings file.
type Problem struct {
	// File is the name of the file as the operator gave it.
	File string
	// Line counts from one; zero means that the problem has no position.
	Line int
	// Column counts from one.
	Column int
	// Message says what is wrong.
	Message string
	// Remedy says what to write instead.
	Remedy string
}

// String is the problem in one line: position, message and remedy.
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

// Position is a place in a file; the zero value means that it is not known.
type Position struct {
	// Line and Column count from one.
	Line   int
	Column int
	// given is true where the file gives the very value that was asked for, and
	// not only something around it.
	given bool
}

func (p Position) place() place {
	return place{line: p.Line, column: p.Column}
}

type place struct {
	line   int
	column int
}

// problemList collects problems and counts those that are not listed.
type problemList struct {
	file     string
	problems []Problem
	unlisted int
	// unreadable holds the places of values that could not be decoded: they are
	// not also reported as missing or out of range.
	unreadable map[place]bool
}

func newProblemList(file string) *problemList {
	return &problemList{file: file, unreadable: make(map[place]bool)}
}

// add records a problem unless the value could not be read in the first place.
func (l *problemList) add(at Position, message, remedy string) {
	if at.given && l.unreadable[at.place()] {
		return
	}
	if l.full() {
		l.unlisted++
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

// full tells that further problems would only be counted.
func (l *problemList) full() bool {
	return len(l.problems) >= MaximumListedProblems
}

// result is the list, with one more entry that counts what is not listed.
func (l *problemList) result() []Problem {
	if l.unlisted == 0 {
		return l.problems
	}
	rest := Problem{
		File:    l.file,
		Message: fmt.Sprintf("%d more problems are not listed", l.unlisted),
		Remedy:  "mend those above and try again",
	}
	return append(l.problems, rest)
}

// ProblemsError turns the problems of a file into one fault.InvalidArgument with a
// line for each. It returns nil where there are none.
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
