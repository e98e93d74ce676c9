package strictyaml

import (
	"github.com/goccy/go-yaml/token"
)

// Limits on the structure of input files. The parser recurses once per nesting
// level, and its time is quadratic in the number of keys of one mapping: 100,000
// keys take over 20 s. The limits are therefore checked on the tokens before the
// parser runs.
const (
	maxFlowDepth  = 20
	maxLineTokens = 2000  // tokens in one line
	maxKeys       = 1000  // keys of one mapping
	maxDocuments  = 1000  // documents in one file
	maxSeparators = 10000 // commas in one pair of brackets
)

// limitChecker checks the tokens of one file against the limits.
type limitChecker struct {
	report     *Report
	line       int
	lineTokens int
	documents  int
	commas     []int       // commas so far in each open pair of brackets
	keys       map[int]int // keys so far in each open block mapping, by its column
}

// checkTokens reports the first token that exceeds a limit or belongs to a YAML
// feature that is not allowed.
func checkTokens(report *Report, tokens token.Tokens) {
	l := &limitChecker{report: report, keys: map[int]int{}}
	for _, t := range tokens {
		if t.Position != nil && t.Position.Line != l.line {
			l.line, l.lineTokens = t.Position.Line, 0
		}
		if l.lineTokens++; l.lineTokens > maxLineTokens {
			l.addProblem("break the line", "line has more than %d tokens", maxLineTokens)
		}
		l.checkToken(t)
		if len(report.Problems) > 0 {
			return
		}
	}
}

func (l *limitChecker) addProblem(remedy, format string, args ...any) {
	l.report.lines[""] = l.line
	l.report.Add("", remedy, format, args...)
}

func (l *limitChecker) checkToken(t *token.Token) {
	switch t.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType:
		l.addProblem("write the value out", "anchors, aliases, merge keys, tags and explicit keys (%q) are not allowed", t.Value)
	case token.SequenceStartType, token.MappingStartType:
		if l.commas = append(l.commas, 0); len(l.commas) > maxFlowDepth {
			l.addProblem("nest values less deeply", "brackets are nested more than %d levels deep", maxFlowDepth)
		}
	case token.SequenceEndType, token.MappingEndType:
		l.commas = l.commas[:max(0, len(l.commas)-1)]
	case token.CollectEntryType:
		l.countComma()
	case token.SequenceEntryType:
		l.checkListEntry(t)
	case token.MappingValueType:
		l.countKey(t)
	case token.DocumentHeaderType:
		if l.documents++; l.documents > maxDocuments {
			l.addProblem("split the file", "file has more than %d documents", maxDocuments)
		}
		clear(l.keys)
	}
}

func (l *limitChecker) countComma() {
	if len(l.commas) == 0 {
		return
	}
	last := len(l.commas) - 1
	if l.commas[last]++; l.commas[last] > maxSeparators {
		l.addProblem("split the list", "list has more than %d entries", maxSeparators)
	}
}

// checkListEntry bounds the depth of nested lists that begin in one line ("- - - x").
func (l *limitChecker) checkListEntry(t *token.Token) {
	if len(l.commas) == 0 && l.lineTokens > maxDepth {
		l.addProblem("nest values less deeply", "lists are nested more than %d levels deep", maxDepth)
	}
	if t.Position != nil {
		l.closeMappings(t.Position.Column)
	}
}

// countKey counts the keys of each open block mapping. A key closes the mappings
// that start at a column to its right.
func (l *limitChecker) countKey(t *token.Token) {
	if len(l.commas) > 0 || t.Prev == nil || t.Prev.Position == nil {
		return
	}
	column := t.Prev.Position.Column
	l.closeMappings(column)
	if l.keys[column]++; l.keys[column] > maxKeys {
		l.addProblem("split the file", "mapping has more than %d keys", maxKeys)
	}
	if len(l.keys) > maxDepth {
		l.addProblem("nest values less deeply", "mappings are nested more than %d levels deep", maxDepth)
	}
}

// closeMappings removes the open mappings to the right of the column.
func (l *limitChecker) closeMappings(column int) {
	for open := range l.keys {
		if open > column {
			delete(l.keys, open)
		}
	}
}
