package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the log lines that wait to be written.
	maxBuffered = 256 << 10 // bytes
	// flushEvery lets many lines share one write.
	flushEvery = 100 * time.Millisecond
	// maxWrite is the size up to which a pipe takes a write as a whole
	// (PIPE_BUF of Linux). Log collectors lost parts of longer writes.
	maxWrite = 4096 // bytes
)

// BoundedWriter is a writer for logs that never blocks: it buffers lines,
// writes them in the background and drops what does not fit. The number of
// dropped lines is written with the next ones.
type BoundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter returns a writer to out. Close flushes and ends it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one log line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBuffered {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Close writes what is buffered and ends the writer.
func (w *BoundedWriter) Close() error {
	w.once.Do(func() { close(w.closed) })
	<-w.done
	return nil
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.closed:
			w.flush()
			return
		}
	}
}

func (w *BoundedWriter) flush() {
	w.mu.Lock()
	data, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		data = append(data, fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)...)
	}
	if len(data) == 0 {
		return
	}
	for len(data) > 0 {
		n := wholeLines(data)
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.out.Write(data[:n])
		data = data[n:]
	}
}

// wholeLines returns the length of the lines at the start of data that fit
// into one write; a longer line is written in pieces.
func wholeLines(data []byte) int {
	if len(data) <= maxWrite {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:maxWrite], '\n'); end >= 0 {
		return end + 1
	}
	return maxWrite
}
