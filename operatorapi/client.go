package operatorapi

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/httpcall"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	defaultTimeout  = 20 * time.Second // longer than the server's call timeout of 15 s, so that its response arrives
	maxResponseSize = 64 << 20         // bytes; a list of 18,000 tasks takes about 6 MiB
)

// Client calls the operators' API of one instance. It implements Backend.
type Client struct {
	address string
	secret  string
	http    *fasthttp.Client
}

var _ Backend = (*Client)(nil)

// NewClient returns a client of the instance whose operators' listener has the
// given address (IP:port). The secret may be empty.
func NewClient(address, secret string) *Client {
	return &Client{address: address, secret: secret, http: httpcall.NewClient(maxResponseSize)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends one request and decodes the response into result. A nil body means
// a request without a body.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body, result any) error {
	if err := ctx.Err(); err != nil {
		return errs.Wrap(err, errs.NotRun, "repeat the command", "%s %s", method, path)
	}
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errs.Wrap(err, errs.InvalidInput, "correct the input", "encode the body")
		}
	}
	if len(data) > defaultMaxBody {
		// The server would close the connection before it has read the body,
		// and the client might see a connection reset instead of the response.
		return errs.New(errs.InvalidInput, remedyForStatus(fasthttp.StatusRequestEntityTooLarge),
			"%s %s: the body has %d bytes, the limit is %d", method, path, len(data), defaultMaxBody)
	}
	response, err := httpcall.Do(ctx, c.http, defaultTimeout, func(request *fasthttp.Request) {
		c.fillRequest(request, method, path, query, data)
	})
	if err != nil {
		return c.transportError(err, method, path)
	}
	if response.Status != fasthttp.StatusOK {
		return responseError(response.Status, response.Body)
	}
	if err := json.Unmarshal(response.Body, result); err != nil {
		return errs.Wrap(err, lostResponseKind(method), "check that server and command have the same version", "decode the response to %s %s", method, path)
	}
	return nil
}

func (c *Client) fillRequest(request *fasthttp.Request, method, path string, query url.Values, data []byte) {
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	request.URI().SetQueryString(query.Encode())
	if c.secret != "" {
		request.Header.Set(SecretHeader, c.secret)
	}
	if data != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(data)
	}
}

// lostResponseKind returns the error kind for a request whose response was lost.
// The outcome of a GET is never unknown, because it changes nothing.
func lostResponseKind(method string) errs.Kind {
	if method == fasthttp.MethodGet {
		return errs.Unreachable
	}
	return errs.OutcomeUnknown
}

// transportError returns the typed error for a request that has no response.
func (c *Client) transportError(err error, method, path string) error {
	if httpcall.NotSent(err) {
		return errs.Wrap(err, errs.Unreachable, "start the daemon or name another instance with --server",
			"connect to %s", c.address)
	}
	remedy := "try again or name another instance with --server"
	if method != fasthttp.MethodGet {
		remedy = "look at the current state, then repeat the same command; repeats have no second effect"
	}
	return errs.Wrap(err, lostResponseKind(method), remedy, "%s %s at %s", method, path, c.address)
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var result T
	err := c.do(ctx, fasthttp.MethodGet, path, query, nil, &result)
	return result, err
}

func post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	var result T
	err := c.do(ctx, fasthttp.MethodPost, path, nil, body, &result)
	return result, err
}

// objectPath returns the path of an object or of an action on it, or an error if
// the identifier is not valid.
func objectPath(collection, objectType, id, action string) (string, error) {
	if err := CheckID(objectType, id); err != nil {
		return "", err
	}
	path := "/v1/" + collection + "/" + id
	if action != "" {
		path += "/" + action
	}
	return path, nil
}

func getObject[T any](ctx context.Context, c *Client, collection, objectType, id, action string) (T, error) {
	path, err := objectPath(collection, objectType, id, action)
	if err != nil {
		var zero T
		return zero, err
	}
	return get[T](ctx, c, path, nil)
}

func postObject[T any](ctx context.Context, c *Client, collection, objectType, id, action string) (T, error) {
	path, err := objectPath(collection, objectType, id, action)
	if err != nil {
		var zero T
		return zero, err
	}
	return post[T](ctx, c, path, struct{}{})
}

// queryValues returns pairs of names and values as query parameters. Values
// that are empty or "0" are left out.
func queryValues(pairs ...string) url.Values {
	query := url.Values{}
	for i := 0; i < len(pairs); i += 2 {
		if value := pairs[i+1]; value != "" && value != "0" {
			query.Set(pairs[i], value)
		}
	}
	return query
}

// Version implements Backend.
func (c *Client) Version(ctx context.Context) (VersionInfo, error) {
	return get[VersionInfo](ctx, c, "/v1/version", nil)
}

// Settings implements Backend.
func (c *Client) Settings(ctx context.Context, query SettingsQuery) (SettingsResponse, error) {
	values := queryValues("version", strconv.FormatUint(query.Version, 10), "path", string(query.Path))
	return get[SettingsResponse](ctx, c, "/v1/settings", values)
}

// ApplySettings implements Backend.
func (c *Client) ApplySettings(ctx context.Context, request ApplyRequest) (ApplyResponse, error) {
	return post[ApplyResponse](ctx, c, "/v1/settings", request)
}

// SettingsHistory implements Backend.
func (c *Client) SettingsHistory(ctx context.Context, query HistoryQuery) (HistoryResponse, error) {
	values := queryValues("before", strconv.FormatUint(query.BeforeVersion, 10), "limit", strconv.Itoa(query.Limit))
	return get[HistoryResponse](ctx, c, "/v1/settings/history", values)
}

// SettingsStatus implements Backend.
func (c *Client) SettingsStatus(ctx context.Context) (SettingsStatus, error) {
	return get[SettingsStatus](ctx, c, "/v1/settings/status", nil)
}

// SubmitJob implements Backend.
func (c *Client) SubmitJob(ctx context.Context, job structs.Job) (JobStatus, error) {
	return post[JobStatus](ctx, c, "/v1/jobs", job)
}

// Jobs implements Backend.
func (c *Client) Jobs(ctx context.Context, query JobQuery) (JobList, error) {
	values := queryValues("team", string(query.Team), "class", string(query.Class),
		"after", string(query.After), "limit", strconv.Itoa(query.Limit))
	if query.ActiveOnly {
		values.Set("active", "true")
	}
	return get[JobList](ctx, c, "/v1/jobs", values)
}

// Job implements Backend.
func (c *Client) Job(ctx context.Context, id structs.JobID) (JobDetail, error) {
	return getObject[JobDetail](ctx, c, "jobs", "job", string(id), "")
}

// CancelJob implements Backend.
func (c *Client) CancelJob(ctx context.Context, id structs.JobID) (JobStatus, error) {
	return postObject[JobStatus](ctx, c, "jobs", "job", string(id), "cancel")
}

// ExplainJob implements Backend.
func (c *Client) ExplainJob(ctx context.Context, id structs.JobID) (JobExplanation, error) {
	return getObject[JobExplanation](ctx, c, "jobs", "job", string(id), "explain")
}

// Workers implements Backend.
func (c *Client) Workers(ctx context.Context) (WorkerList, error) {
	return get[WorkerList](ctx, c, "/v1/workers", nil)
}

// ActOnWorker implements Backend.
func (c *Client) ActOnWorker(ctx context.Context, id structs.WorkerID, action WorkerAction) (WorkerStatus, error) {
	return postObject[WorkerStatus](ctx, c, "workers", "worker", string(id), string(action))
}

// Instances implements Backend.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	return get[InstanceList](ctx, c, "/v1/instances", nil)
}

// DrainInstance implements Backend.
func (c *Client) DrainInstance(ctx context.Context, id structs.InstanceID) (InstanceStatus, error) {
	return postObject[InstanceStatus](ctx, c, "instances", "instance", string(id), "drain")
}

// Queues implements Backend.
func (c *Client) Queues(ctx context.Context) (QueueList, error) {
	return get[QueueList](ctx, c, "/v1/queues", nil)
}
