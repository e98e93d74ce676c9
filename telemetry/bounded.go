package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the total size of the buffered log lines.
	maxBufferedBytes = 256 << 10
	// flushInterval is the period of writes. It lets many lines share one
	// write.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes is PIPE_BUF of Linux, the size up to which a write to a
	// pipe is atomic. Log collectors lost parts of longer writes.
	maxWriteBytes = 4096
)

// BoundedWriter is a log writer that never blocks. It buffers lines, writes
// them in the background and drops lines while the buffer is full. It logs the
// number of dropped lines with the next write.
type BoundedWriter struct {
	out io.Writer

	mu             sync.Mutex
	buffer         []byte
	dropped        int
	closeRequested chan struct{}
	done           chan struct{}
	closeOnce      sync.Once
}

// NewBoundedWriter returns a BoundedWriter that writes to out. The caller must
// close it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, closeRequested: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one log line, or drops it if the buffer is full.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Close writes the buffered lines and stops the writer.
func (w *BoundedWriter) Close() error {
	w.closeOnce.Do(func() { close(w.closeRequested) })
	<-w.done
	return nil
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.closeRequested:
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
		n := nextWriteLength(data)
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.out.Write(data[:n])
		data = data[n:]
	}
}

// nextWriteLength returns how many bytes of data to write next: as many whole
// lines as fit into maxWriteBytes. A longer line is written in parts.
func nextWriteLength(data []byte) int {
	if len(data) <= maxWriteBytes {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	return maxWriteBytes
}
