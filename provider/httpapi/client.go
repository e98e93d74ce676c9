package httpapi

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Client calls a platform. It implements the interfaces of package provider;
// the object store is available from Objects.
type Client struct {
	base    string
	timeout time.Duration
	http    *fasthttp.Client

	mu          sync.Mutex
	cachedLists map[string]Response // latest list of the directory by operation
}

// New returns a client of the platform at address (host:port). timeout limits
// each call that has no earlier deadline.
func New(address string, timeout time.Duration) *Client {
	return &Client{
		base:        "http://" + address + "/",
		timeout:     timeout,
		cachedLists: map[string]Response{},
		http: &fasthttp.Client{
			MaxResponseBodySize: MaxBodyBytes,
			// The HTTP layer must not retry, since the first call may have been
			// applied; the caller reads the row back instead.
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           256,
		},
	}
}

// Objects returns the platform's object store.
func (c *Client) Objects() provider.Objects { return objects{c} }

var (
	_ provider.Table     = (*Client)(nil)
	_ provider.Directory = (*Client)(nil)
	_ provider.Workers   = (*Client)(nil)
)

func (c *Client) call(ctx context.Context, op string, in Request) (Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return Response{}, errs.Wrap(err, errs.InvalidInput, "", "encode call %q", op)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.base + op)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	if err := c.http.DoDeadline(request, response, c.deadline(ctx)); err != nil {
		return Response{}, transportError(err, op)
	}
	return decode(op, response)
}

func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.timeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		return earlier
	}
	return deadline
}

// transportError returns NotRun for a call that was not sent, which is certain
// only if no connection was obtained, and OutcomeUnknown for any other failure.
func transportError(err error, op string) error {
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) || isDialError(err) {
		return errs.Wrap(err, errs.NotRun, "check that the platform is reachable", "call platform operation %q", op)
	}
	return errs.Wrap(err, errs.OutcomeUnknown, "read the state back", "call platform operation %q", op)
}

func decode(op string, response *fasthttp.Response) (Response, error) {
	if response.StatusCode() == fasthttp.StatusOK {
		var decoded Response
		if err := json.Unmarshal(response.Body(), &decoded); err != nil {
			return Response{}, errs.Wrap(err, errs.OutcomeUnknown, "read the state back", "decode the reply to %q", op)
		}
		return decoded, nil
	}
	var failure ErrorBody
	if err := json.Unmarshal(response.Body(), &failure); err != nil || failure.Kind == "" {
		return Response{}, errs.New(errs.OutcomeUnknown, "read the state back",
			"platform operation %q returned status %d", op, response.StatusCode())
	}
	return Response{}, errs.New(failure.Kind, "", "platform operation %q: %s", op, failure.Message)
}

// Get implements provider.Table.
func (c *Client) Get(ctx context.Context, key string) (provider.Row, error) {
	response, err := c.call(ctx, OpGet, Request{Key: key})
	if err != nil {
		return provider.Row{}, err
	}
	if len(response.Rows) != 1 {
		return provider.Row{}, errs.New(errs.OutcomeUnknown, "read again", "platform returned %d rows for one key", len(response.Rows))
	}
	return response.Rows[0], nil
}

// Scan implements provider.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	response, err := c.call(ctx, OpScan, Request{Prefix: prefix, After: after, Limit: limit})
	return response.Rows, err
}

// Commit implements provider.Table.
func (c *Client) Commit(ctx context.Context, txn provider.Txn) (provider.TxnResult, error) {
	response, err := c.call(ctx, OpCommit, Request{Txn: txn})
	return provider.TxnResult{Versions: response.Versions}, err
}

// Register implements provider.Directory.
func (c *Client) Register(ctx context.Context, self structs.InstanceInfo) error {
	_, err := c.call(ctx, OpRegister, Request{Instance: self})
	return err
}

// list reads a list of the directory. If the list has not changed, it returns
// the cached one.
func (c *Client) list(ctx context.Context, op string) (Response, error) {
	c.mu.Lock()
	cached := c.cachedLists[op]
	c.mu.Unlock()
	response, err := c.call(ctx, op, Request{IfNotTag: cached.Tag})
	if err != nil || response.Unchanged {
		return cached, err
	}
	c.mu.Lock()
	c.cachedLists[op] = response
	c.mu.Unlock()
	return response, nil
}

// Instances implements provider.Directory.
func (c *Client) Instances(ctx context.Context) ([]structs.InstanceInfo, error) {
	response, err := c.list(ctx, OpInstances)
	return response.Instances, err
}

// Workers implements provider.Directory.
func (c *Client) Workers(ctx context.Context) ([]structs.Worker, error) {
	response, err := c.list(ctx, OpWorkers)
	return response.Workers, err
}

// Executors implements provider.Directory.
func (c *Client) Executors(ctx context.Context) ([]structs.Executor, error) {
	response, err := c.list(ctx, OpExecutors)
	return response.Executors, err
}

// Do implements provider.Workers.
func (c *Client) Do(ctx context.Context, worker structs.Worker, batch provider.WorkerBatch) (provider.WorkerReport, error) {
	response, err := c.call(ctx, OpWorkerDo, Request{Worker: worker.ID, Batch: batch})
	return response.Report, err
}

type objects struct{ client *Client }

// Put implements provider.Objects.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.client.call(ctx, OpPutObject, Request{Key: name, Data: data})
	return err
}

// Get implements provider.Objects.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	response, err := o.client.call(ctx, OpGetObject, Request{Key: name})
	return response.Data, err
}

// List implements provider.Objects.
func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	response, err := o.client.call(ctx, OpListObjects, Request{Prefix: prefix})
	return response.Names, err
}

// Delete implements provider.Objects.
func (o objects) Delete(ctx context.Context, name string) error {
	_, err := o.client.call(ctx, OpDeleteObject, Request{Key: name})
	return err
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
