package telemetry

import (
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	output  strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.output.Write(p)
}

// Guards against logging that blocks the process or buffers without bound while
// the output is not read, and against dropped lines that are not reported.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxBufferedBytes / 1024
	for range lines {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("write: %d, %v", n, err)
		}
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if size := out.output.Len(); size > 3*maxBufferedBytes {
		t.Errorf("%d bytes written, want a bounded number", size)
	}
	if !strings.Contains(out.output.String(), "log lines dropped") {
		t.Error("dropped lines are not reported in the log")
	}
}

// writeRecorder records the data of every write.
type writeRecorder struct{ writes [][]byte }

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.writes = append(w.writes, append([]byte(nil), p...))
	return len(p), nil
}

// Guards against log lines that the reader of a pipe loses. Log collectors read
// only the first part of writes above 4096 bytes, and two thirds of a busy
// leader's lines were missing.
func TestWritesHoldWholeLines(t *testing.T) {
	out := &writeRecorder{}
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
		if len(p) > maxWriteBytes || p[len(p)-1] != '\n' {
			t.Errorf("a write of %d bytes, want whole lines of at most %d bytes", len(p), maxWriteBytes)
		}
	}
	if total != 100*len(line) {
		t.Errorf("%d bytes written, want %d", total, 100*len(line))
	}
}
