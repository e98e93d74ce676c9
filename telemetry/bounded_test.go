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
