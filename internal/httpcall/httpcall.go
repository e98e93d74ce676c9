// Package httpcall makes single HTTP calls with fasthttp and adds what fasthttp
// lacks: a call returns when its context ends.
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

// Response is a response whose body was read completely. It stays valid after the
// call, unlike the buffers of fasthttp.
type Response struct {
	Status int
	Header func(name string) string
	Body   []byte
}

// NewClient returns a client that never retries a call by itself, since only
// the caller knows whether a retry is safe. Response bodies above maxBody bytes are
// errors.
func NewClient(maxBody int) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "mangodrum",
		MaxResponseBodySize:       maxBody,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, dialTimeout)
		},
	}
}

// result is the response or the error of one call.
type result struct {
	response Response
	err      error
}

// Do sends the request that prepare fills in and returns the response. If the
// context ends first, Do returns the error of the context, and the call ends in
// the background, at the latest after timeout.
func Do(ctx context.Context, client *fasthttp.Client, timeout time.Duration, prepare func(*fasthttp.Request)) (Response, error) {
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	done := make(chan result, 1)
	go func() {
		var res result
		panicked := panics.Try(func() { res = do(client, timeout, prepare) })
		if panicked != nil {
			res.err = panicked.AsError()
		}
		done <- res
	}()
	select {
	case res := <-done:
		return res.response, res.err
	case <-ctx.Done():
		return Response{}, ctx.Err()
	}
}

func do(client *fasthttp.Client, timeout time.Duration, prepare func(*fasthttp.Request)) result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	prepare(request)
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

// NotSent reports whether err proves that nothing of the request was sent.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		errors.As(err, &opErr) && opErr.Op == "dial"
}
