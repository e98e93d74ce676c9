package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// requestBody is a caller's body: the start that was read before the request
// was admitted, and the rest if it is longer.
type requestBody struct {
	start    []byte
	rest     io.Reader // nil if start is all of it
	length   int       // -1: chunked
	consumed bool      // a part of rest was read
	left     int64     // bytes that the limit still allows
}

var (
	errBodyTooLarge = errors.New("the request's body is larger than the limit")
	errCallerCut    = errors.New("the caller's connection ended inside the body")
)

// readStart reads up to maxBuffered bytes.
func (b *requestBody) readStart(ctx *fasthttp.RequestCtx, limit int64) error {
	stream := ctx.RequestBodyStream()
	b.length = ctx.Request.Header.ContentLength()
	b.left = limit
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
	b.start = make([]byte, size)
	n, err := io.ReadFull(stream, b.start)
	b.start = b.start[:n]
	b.left -= int64(n)
	switch {
	case b.left < 0:
		return errBodyTooLarge
	case n == b.length:
		return nil
	case err == nil:
		b.rest = stream
		return nil
	case b.length < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF && chunkedEnded(stream)):
		b.length = n
		return nil
	}
	return errCallerCut
}

// chunkedEnded reports whether a chunked stream reached its last chunk:
// io.ReadFull reports both that and a cut as an unexpected end.
func chunkedEnded(stream io.Reader) bool {
	var buf [1]byte
	n, err := stream.Read(buf[:])
	return n == 0 && err == io.EOF
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return !b.consumed }

// writeRequest sends the head and the body to an executor.
func (b *requestBody) writeRequest(w *bufio.Writer, head []byte, host string, left time.Duration) error {
	writeHead(w, head, host, left)
	if b.rest != nil {
		return b.stream(w)
	}
	_, _ = w.Write(b.start) // Flush reports the error
	return w.Flush()
}

// stream sends a body that is longer than its start.
func (b *requestBody) stream(w *bufio.Writer) error {
	b.consumed = true
	if b.length >= 0 {
		_, _ = w.Write(b.start)
		if n, err := io.CopyN(w, b.rest, int64(b.length-len(b.start))); err != nil {
			return errors.Wrapf(err, "after %d bytes of the rest", n)
		}
		return w.Flush()
	}
	chunks := httputil.NewChunkedWriter(w)
	_, _ = chunks.Write(b.start)
	n, err := io.Copy(chunks, io.LimitReader(b.rest, b.left+1))
	if err != nil {
		return err
	}
	if n > b.left {
		return errBodyTooLarge
	}
	_ = chunks.Close()
	_, _ = w.WriteString("\r\n")
	return w.Flush()
}

// newBodyReader returns a reader of an answer's body that ends with io.EOF
// only after a complete body.
func newBodyReader(reader *bufio.Reader, length int) io.Reader {
	if length >= 0 {
		return &fixedReader{reader: reader, left: length}
	}
	return &chunkedReader{reader: reader, chunks: httputil.NewChunkedReader(reader)}
}

// chunkedReader reads a chunked body and its trailer.
type chunkedReader struct {
	reader *bufio.Reader
	chunks io.Reader
	ended  bool
}

// maxTrailer bounds the trailer of a chunked answer, which is dropped.
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
	for left := maxTrailer; left > 0; {
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
		left -= len(line)
	}
	return errors.New("the trailer of the executor's answer is too long")
}
