package inbound

import (
	"io"

	"github.com/cockroachdb/errors"
)

var (
	// ErrTooLarge means that a body is longer than its limit.
	ErrTooLarge = errors.New("the body is larger than the limit")
	// ErrBusy means that other requests hold the memory that a body needs.
	ErrBusy = errors.New("too many requests are being received")
)

// BodyLimits bounds the read of one body.
type BodyLimits struct {
	MaxBytes  int   // of the body
	FreeBytes int   // of these, bytes that the bound on the number of connections allows for
	Factor    int64 // memory for each further byte, with what the body is decoded into
}

// firstBuffer is the size of the buffer that a body begins with, whatever length was
// announced for it.
const firstBuffer = 1 << 10

// ReadBody reads a body from r, which ends with io.EOF. length is the announced length, or
// negative if it is not known. Memory grows with what has arrived, not with what was
// announced. The error is ErrTooLarge or ErrBusy, or that of r.
func ReadBody(r io.Reader, conn *Conn, length int, limits BodyLimits) ([]byte, error) {
	if length > limits.MaxBytes {
		return nil, ErrTooLarge
	}
	body := make([]byte, 0, firstBuffer)
	allowed := limits.FreeBytes
	for {
		if len(body) == cap(body) {
			grown := min(2*cap(body), limits.MaxBytes+1)
			if grown <= cap(body) {
				return nil, ErrTooLarge
			}
			if grown > allowed {
				if !conn.Hold(int64(grown-allowed) * limits.Factor) {
					return nil, ErrBusy
				}
				allowed = grown
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limits.MaxBytes:
			return nil, ErrTooLarge
		case err == io.EOF && length >= 0 && len(body) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
