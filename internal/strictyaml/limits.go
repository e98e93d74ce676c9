package strictyaml

import (
	"github.com/goccy/go-yaml/token"
)

// Limits on the structure of input files. The parser recurses once per level
// and takes time quadratic in the keys of one mapping, so these are checked on
// the tokens before it runs: 100,000 keys in one mapping take it over 20 s.
const (
	maxFlowDepth  = 20
	maxLineTokens = 2000  // tokens in one line
	maxKeys       = 1000  // keys of one mapping
	maxDocuments  = 1000  // documents in one file
	maxSeparators = 10000 // commas in one pair of brackets
)

// limiter checks the tokens of one file.
type limiter struct {
	report     *Report
	line       int
	lineTokens int
	documents  int
	flow       []int       // commas so far in each open bracket
	keys       map[int]int // keys so far by column, of the open block mappings
}

// checkTokens reports the first token that exceeds a limit or is not allowed.
func checkTokens(report *Report, tokens token.Tokens) {
	l := &limiter{report: report, keys: map[int]int{}}
	for _, t := range tokens {
		if t.Position != nil && t.Position.Line != l.line {
			l.line, l.lineTokens = t.Position.Line, 0
		}
		if l.lineTokens++; l.lineTokens > maxLineTokens {
			l.add("break the line", "line has more than %d tokens", maxLineTokens)
		}
		l.check(t)
		if len(report.Problems) > 0 {
			return
		}
	}
}

func (l *limiter) add(remedy, format string, args ...any) {
	l.report.lines[""] = l.line
	l.report.Add("", remedy, format, args...)
}

func (l *limiter) check(t *token.Token) {
	switch t.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType:
		l.add("write the value out", "anchors, aliases, merge keys, tags and explicit keys (%q) are not allowed", t.Value)
	case token.SequenceStartType, token.MappingStartType:
		if l.flow = append(l.flow, 0); len(l.flow) > maxFlowDepth {
			l.add("nest values less deeply", "brackets are nested more than %d levels deep", maxFlowDepth)
		}
	case token.SequenceEndType, token.MappingEndType:
		l.flow = l.flow[:max(0, len(l.flow)-1)]
	case token.CollectEntryType:
		l.countComma()
	case token.SequenceEntryType:
		l.checkEntry(t)
	case token.MappingValueType:
		l.countKey(t)
	case token.DocumentHeaderType:
		if l.documents++; l.documents > maxDocuments {
			l.add("split the file", "file has more than %d documents", maxDocuments)
		}
		clear(l.keys)
	}
}

func (l *limiter) countComma() {
	if len(l.flow) == 0 {
		return
	}
	last := len(l.flow) - 1
	if l.flow[last]++; l.flow[last] > maxSeparators {
		l.add("split the list", "list has more than %d entries", maxSeparators)
	}
}

// checkEntry bounds lists in lists that begin in one line ("- - - x").
func (l *limiter) checkEntry(t *token.Token) {
	if len(l.flow) == 0 && l.lineTokens > maxDepth {
		l.add("nest values less deeply", "lists are nested more than %d levels deep", maxDepth)
	}
	if t.Position != nil {
		l.closeDeeper(t.Position.Column)
	}
}

// countKey counts the keys of each open block mapping; a key further left
// closes the mappings to its right.
func (l *limiter) countKey(t *token.Token) {
	if len(l.flow) > 0 || t.Prev == nil || t.Prev.Position == nil {
		return
	}
	column := t.Prev.Position.Column
	l.closeDeeper(column)
	if l.keys[column]++; l.keys[column] > maxKeys {
		l.add("split the file", "mapping has more than %d keys", maxKeys)
	}
	if len(l.keys) > maxDepth {
		l.add("nest values less deeply", "mappings are nested more than %d levels deep", maxDepth)
	}
}

func (l *limiter) closeDeeper(column int) {
	for open := range l.keys {
		if open > column {
			delete(l.keys, open)
		}
	}
}
