package strictyaml

import (
	"fmt"
	"strings"

	"github.com/mangodrum/mangodrum/errs"
)

// Problem is one error in an input file. It unwraps to an errs.Error of kind
// errs.InvalidInput.
type Problem struct {
	File   string
	Line   int // 0 if unknown
	Field  string
	Detail string
	Remedy string
}

// Error returns the problem with its position, field and remedy in one line.
func (p *Problem) Error() string { return p.Unwrap().Error() }

// Unwrap returns the problem as an errs.Error.
func (p *Problem) Unwrap() error {
	var text strings.Builder
	if p.File != "" {
		text.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&text, "%d:", p.Line)
	}
	if text.Len() > 0 {
		text.WriteString(" ")
	}
	if p.Field != "" {
		text.WriteString(p.Field + ": ")
	}
	return errs.New(errs.InvalidInput, p.Remedy, "%s%s", text.String(), p.Detail)
}

// Problems is the list of all errors found in one file.
type Problems []*Problem

// Error returns one line for every problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each problem as an error.
func (ps Problems) Unwrap() []error {
	list := make([]error, len(ps))
	for i, p := range ps {
		list[i] = p
	}
	return list
}

// Report collects the problems of one document and holds the lines of its
// fields.
type Report struct {
	File     string
	Problems Problems
	lines    map[string]int // by field; "" is the whole document
}

// NewReport returns an empty report on a document without line numbers, for
// example a value that was built in memory.
func NewReport(file string) *Report {
	return &Report{File: file, lines: map[string]int{}}
}

// Add records a problem with the field, at the line of the field or of the
// closest enclosing field that is present.
func (r *Report) Add(field, remedy, format string, args ...any) {
	r.Problems = append(r.Problems, &Problem{
		File: r.File, Line: r.Line(field), Field: field,
		Detail: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// Line returns the line of the field or of the closest enclosing field.
func (r *Report) Line(field string) int {
	for {
		if line, ok := r.lines[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return r.lines[""]
		}
		field = field[:cut]
	}
}

// Err returns all problems as one error, or nil if there are none.
func (r *Report) Err() error {
	if len(r.Problems) == 0 {
		return nil
	}
	return r.Problems
}

// maxProblems bounds the report on a file with errors in every line.
const maxProblems = 100

func (r *Report) isFull() bool { return len(r.Problems) >= maxProblems }
