package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/provider/httpapi"
	"github.com/mangodrum/mangodrum/structs"
)

const controlPrefix = "standin/"

// Server serves a platform over the protocol of package httpapi.
type Server struct {
	table     provider.Table
	objects   provider.Objects
	directory provider.Directory
	workers   provider.Workers
	// control executes operations that control the simulated platform; it may be
	// nil.
	control func(op string, body []byte) (any, error)
	server  *fasthttp.Server
}

// NewServer returns a server for the given parts of a platform.
func NewServer(t provider.Table, o provider.Objects, d provider.Directory, w provider.Workers) *Server {
	s := &Server{table: t, objects: o, directory: d, workers: w}
	s.server = &fasthttp.Server{
		Handler:            s.handle,
		MaxRequestBodySize: httpapi.MaxBodyBytes,
		ReadTimeout:        time.Minute,
		IdleTimeout:        time.Minute,
	}
	return s
}

// Serve accepts connections on listener until Close.
func (s *Server) Serve(listener net.Listener) error { return s.server.Serve(listener) }

// Close stops the server after the calls that are in progress.
func (s *Server) Close() error { return s.server.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	result, err := s.call(ctx, strings.TrimPrefix(string(ctx.Path()), "/"), ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(httpapi.HTTPStatus(err))
		result = httpapi.ErrorBody{Kind: errs.KindOf(err), Message: err.Error()}
	}
	body, err := json.Marshal(result)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) call(ctx context.Context, op string, body []byte) (any, error) {
	if strings.HasPrefix(op, controlPrefix) && s.control != nil {
		return s.control(op, body)
	}
	var in httpapi.Request
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, errs.Wrap(err, errs.InvalidInput, "send a JSON object", "decode call %q", op)
	}
	switch op {
	case httpapi.OpGet:
		return singleRow(s.table.Get(ctx, in.Key))
	case httpapi.OpScan:
		rows, err := s.table.Scan(ctx, in.Prefix, in.After, in.Limit)
		return httpapi.Response{Rows: rows}, err
	case httpapi.OpCommit:
		result, err := s.table.Commit(ctx, in.Txn)
		return httpapi.Response{Versions: result.Versions}, err
	case httpapi.OpPutObject:
		return httpapi.Response{}, s.objects.Put(ctx, in.Key, in.Data)
	case httpapi.OpGetObject:
		data, err := s.objects.Get(ctx, in.Key)
		return httpapi.Response{Data: data}, err
	case httpapi.OpListObjects:
		names, err := s.objects.List(ctx, in.Prefix)
		return httpapi.Response{Names: names}, err
	case httpapi.OpDeleteObject:
		return httpapi.Response{}, s.objects.Delete(ctx, in.Key)
	case httpapi.OpWorkerDo:
		report, err := s.workers.Do(ctx, structs.Worker{ID: in.Worker}, in.Batch)
		return httpapi.Response{Report: report}, err
	}
	return s.callDirectory(ctx, op, in)
}

func (s *Server) callDirectory(ctx context.Context, op string, in httpapi.Request) (any, error) {
	if op == httpapi.OpRegister {
		return httpapi.Response{}, s.directory.Register(ctx, in.Instance)
	}
	response, err := s.list(ctx, op)
	if err != nil {
		return nil, err
	}
	return withTag(response, in.IfNotTag)
}

func (s *Server) list(ctx context.Context, op string) (response httpapi.Response, err error) {
	switch op {
	case httpapi.OpInstances:
		response.Instances, err = s.directory.Instances(ctx)
	case httpapi.OpWorkers:
		response.Workers, err = s.directory.Workers(ctx)
	case httpapi.OpExecutors:
		response.Executors, err = s.directory.Executors(ctx)
	default:
		err = errs.New(errs.InvalidInput, "use an operation of package httpapi", "operation %q does not exist", op)
	}
	return response, err
}

// withTag adds the tag of a list to the response. It removes the content if its tag
// is knownTag, because the caller already has it.
func withTag(response httpapi.Response, knownTag string) (httpapi.Response, error) {
	content, err := json.Marshal(response)
	if err != nil {
		return response, err
	}
	tag := fmt.Sprintf("%016x", hashOf(content))
	if tag == knownTag {
		return httpapi.Response{Tag: tag, Unchanged: true}, nil
	}
	response.Tag = tag
	return response, nil
}

func hashOf(content []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(content)
	return hash.Sum64()
}

func singleRow(row provider.Row, err error) (any, error) {
	return httpapi.Response{Rows: []provider.Row{row}}, err
}
