package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/internal/inbound"
)

// requestBody is the body of a caller's request: the prefix that was read before
// the request was admitted, and the rest if the body is longer.
type requestBody struct {
	prefix    []byte
	rest      io.Reader // nil if prefix is the whole body
	length    int       // -1 if the body is chunked
	restRead  bool      // a part of rest may have been read
	remaining int64     // bytes that the size limit still allows
}

var (
	errBodyTooLarge   = errors.New("the request's body is larger than the limit")
	errIncompleteBody = errors.New("the caller's connection ended inside the body")
)

// readPrefix reads the body, up to maxBuffered+1 bytes.
func (b *requestBody) readPrefix(ctx *fasthttp.RequestCtx, limit int64) error {
	stream := ctx.RequestBodyStream()
	b.length = ctx.Request.Header.ContentLength()
	b.remaining = limit
	if int64(b.length) > limit {
		return errBodyTooLarge
	}
	if stream == nil {
		b.length = 0
		return nil
	}
	size := maxBuffered + 1
	if b.length >= 0 {
		size = min(b.length, size)
	}
	n, err := b.fillPrefix(stream, boundOf(ctx.Conn()), size)
	if errors.Is(err, inbound.ErrBusy) {
		return err
	}
	b.remaining -= int64(n)
	switch {
	case b.remaining < 0:
		return errBodyTooLarge
	case n == b.length:
		return nil
	case err == nil:
		b.rest = stream
		return nil
	case b.length < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF && atChunkedEOF(stream)):
		b.length = n
		return nil
	}
	return errIncompleteBody
}

// freeBodyBytes is the length of a prefix that the limit on connections allows for.
const freeBodyBytes = 4 << 10

// fillPrefix reads size bytes into the prefix, as io.ReadFull does. The prefix grows with
// what arrives, and the connection holds the memory of a long one.
func (b *requestBody) fillPrefix(stream io.Reader, conn *inbound.Conn, size int) (int, error) {
	b.prefix = make([]byte, 0, min(size, freeBodyBytes))
	for len(b.prefix) < size {
		if len(b.prefix) == cap(b.prefix) {
			grown := min(2*cap(b.prefix), size)
			if !conn.Hold(int64(grown - cap(b.prefix))) {
				return len(b.prefix), inbound.ErrBusy
			}
			b.prefix = append(make([]byte, 0, grown), b.prefix...)
		}
		n, err := io.ReadFull(stream, b.prefix[len(b.prefix):cap(b.prefix)])
		b.prefix = b.prefix[:len(b.prefix)+n]
		if err == io.EOF && len(b.prefix) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return len(b.prefix), err
		}
	}
	return len(b.prefix), nil
}

// atChunkedEOF reports whether a chunked stream is at its regular end.
// io.ReadFull returns io.ErrUnexpectedEOF for both the regular end and a
// truncated stream.
func atChunkedEOF(stream io.Reader) bool {
	var buf [1]byte
	n, err := stream.Read(buf[:])
	return n == 0 && err == io.EOF
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return !b.restRead }

// writeRequest sends the head and the body to an executor.
func (b *requestBody) writeRequest(w *bufio.Writer, head []byte, host string, timeLeft time.Duration) error {
	writeRequestHead(w, head, host, timeLeft)
	if b.rest != nil {
		return b.stream(w)
	}
	_, _ = w.Write(b.prefix) // Flush reports the error
	return w.Flush()
}

// stream sends a body that is longer than its prefix.
func (b *requestBody) stream(w *bufio.Writer) error {
	b.restRead = true
	if b.length >= 0 {
		_, _ = w.Write(b.prefix)
		if n, err := io.CopyN(w, b.rest, int64(b.length-len(b.prefix))); err != nil {
			return errors.Wrapf(err, "forward the request's body: failed %d bytes after the buffered prefix", n)
		}
		return w.Flush()
	}
	chunks := httputil.NewChunkedWriter(w)
	_, _ = chunks.Write(b.prefix)
	n, err := io.Copy(chunks, io.LimitReader(b.rest, b.remaining+1))
	if err != nil {
		return err
	}
	if n > b.remaining {
		return errBodyTooLarge
	}
	_ = chunks.Close()
	_, _ = w.WriteString("\r\n")
	return w.Flush()
}

// newBodyReader returns a reader for the body of a response. It returns io.EOF
// only after a complete body.
func newBodyReader(reader *bufio.Reader, length int) io.Reader {
	if length >= 0 {
		return &fixedLengthReader{reader: reader, remaining: length}
	}
	return &chunkedReader{reader: reader, chunks: httputil.NewChunkedReader(reader)}
}

// chunkedReader reads a chunked body and its trailer.
type chunkedReader struct {
	reader *bufio.Reader
	chunks io.Reader
	ended  bool
}

// maxTrailer limits the size in bytes of the trailer of a chunked response. The
// trailer is not forwarded.
const maxTrailer = 8 << 10

// Read implements io.Reader.
func (r *chunkedReader) Read(p []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	n, err := r.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := r.skipTrailer(); err != nil {
		return n, err
	}
	r.ended = true
	return n, io.EOF
}

func (r *chunkedReader) skipTrailer() error {
	for remaining := maxTrailer; remaining > 0; {
		line, err := r.reader.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		remaining -= len(line)
	}
	return errors.New("the trailer of the executor's response is too long")
}
