package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string // broken rules
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, started: time.Now()}, err
}

// at returns the time since the start in seconds.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.started).Seconds() }

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// broke records that a rule was broken.
func (r *recorder) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log("RULE BROKEN: %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
	fmt.Println("rule broken:", text)
}
