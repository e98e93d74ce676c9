package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run, and what broke a rule.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// note adds a line with the time since the start of the case.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

// breach adds a line about a broken rule.
func (r *record) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := "BROKEN " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, line)
	r.write(line)
}

func (r *record) write(line string) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), line)
}

func (r *record) breaches() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

func (r *record) close() { _ = r.file.Close() }
