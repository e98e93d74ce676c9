package telemetry

import (
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against logging that blocks the process or grows without bound while
// nobody reads, and against lines that are lost without a word.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxBuffered / 1024
	for range lines {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("write: %d, %v", n, err)
		}
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if size := out.text.Len(); size > 3*maxBuffered {
		t.Errorf("%d bytes written, want a bounded number", size)
	}
	if !strings.Contains(out.text.String(), "log lines dropped") {
		t.Error("dropped lines are not counted in the log")
	}
}

// sizes records the writes of a log.
type sizes struct{ writes [][]byte }

func (w *sizes) Write(p []byte) (int, error) {
	w.writes = append(w.writes, append([]byte(nil), p...))
	return len(p), nil
}

// Guards against log lines that a pipe's reader loses: collectors took the
// first part of a longer write only, and of a busy leader's lines two thirds
// were missing.
func TestWritesHoldWholeLines(t *testing.T) {
	out := &sizes{}
	w := NewBoundedWriter(out)
	line := []byte(strings.Repeat("y", 299) + "\n")
	for range 100 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, p := range out.writes {
		total += len(p)
		if len(p) > maxWrite || p[len(p)-1] != '\n' {
			t.Errorf("a write of %d bytes, want whole lines of at most %d bytes", len(p), maxWrite)
		}
	}
	if total != 100*len(line) {
		t.Errorf("%d bytes written, want %d", total, 100*len(line))
	}
}
