// Package httpcall carries out single HTTP calls with fasthttp that end with
// their context.
package httpcall

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"
)

const dialTimeout = 3 * time.Second

// Response is a complete response.
type Response struct {
	Status int
	Header func(name string) string
	Body   []byte
}

// NewClient returns a client that repeats no call on its own, since only the
// caller knows whether a repeat is safe.
func NewClient(maxResponse int) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "mangodrum",
		MaxResponseBodySize:       maxResponse,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, dialTimeout)
		},
	}
}

// result is the outcome of one call.
type result struct {
	response Response
	err      error
}

// Do sends the request that fill prepares, within timeout. When the context
// ends first, Do returns its error and the call ends in the background, at
// the latest after timeout.
func Do(ctx context.Context, client *fasthttp.Client, timeout time.Duration, fill func(*fasthttp.Request)) (Response, error) {
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	done := make(chan result, 1)
	go func() {
		var outcome result
		fault := panics.Try(func() { outcome = do(client, timeout, fill) })
		if fault != nil {
			outcome.err = fault.AsError()
		}
		done <- outcome
	}()
	select {
	case outcome := <-done:
		return outcome.response, outcome.err
	case <-ctx.Done():
		return Response{}, ctx.Err()
	}
}

func do(client *fasthttp.Client, timeout time.Duration, fill func(*fasthttp.Request)) result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fill(request)
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return result{err: err}
	}
	headers := map[string]string{}
	for name, value := range response.Header.All() {
		headers[string(name)] = string(value)
	}
	return result{response: Response{
		Status: response.StatusCode(),
		Header: func(name string) string { return headers[name] },
		Body:   append([]byte(nil), response.Body()...),
	}}
}

// NotSent reports whether err proves that the request did not leave.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		errors.As(err, &op) && op.Op == "dial"
}
