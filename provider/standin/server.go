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
		ctx.SetStatusCode(httpapi.StatusOf(err))
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
	var in httpapi.Call
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, errs.Wrap(err, errs.InvalidInput, "send a JSON object", "decode call %q", op)
	}
	switch op {
	case httpapi.OpGet:
		return singleRow(s.table.Get(ctx, in.Key))
	case httpapi.OpScan:
		rows, err := s.table.Scan(ctx, in.Prefix, in.After, in.Limit)
		return httpapi.Reply{Rows: rows}, err
	case httpapi.OpCommit:
		result, err := s.table.Commit(ctx, in.Txn)
		return httpapi.Reply{Versions: result.Versions}, err
	case httpapi.OpPutObject:
		return httpapi.Reply{}, s.objects.Put(ctx, in.Key, in.Data)
	case httpapi.OpGetObject:
		data, err := s.objects.Get(ctx, in.Key)
		return httpapi.Reply{Data: data}, err
	case httpapi.OpListObjects:
		names, err := s.objects.List(ctx, in.Prefix)
		return httpapi.Reply{Names: names}, err
	case httpapi.OpDeleteObject:
		return httpapi.Reply{}, s.objects.Delete(ctx, in.Key)
	case httpapi.OpWorkerDo:
		report, err := s.workers.Do(ctx, structs.Worker{ID: in.Worker}, in.Batch)
		return httpapi.Reply{Report: report}, err
	}
	return s.callDirectory(ctx, op, in)
}

func (s *Server) callDirectory(ctx context.Context, op string, in httpapi.Call) (any, error) {
	if op == httpapi.OpRegister {
		return httpapi.Reply{}, s.directory.Register(ctx, in.Instance)
	}
	reply, err := s.list(ctx, op)
	if err != nil {
		return nil, err
	}
	return withTag(reply, in.IfNotTag)
}

func (s *Server) list(ctx context.Context, op string) (reply httpapi.Reply, err error) {
	switch op {
	case httpapi.OpInstances:
		reply.Instances, err = s.directory.Instances(ctx)
	case httpapi.OpWorkers:
		reply.Workers, err = s.directory.Workers(ctx)
	case httpapi.OpExecutors:
		reply.Executors, err = s.directory.Executors(ctx)
	default:
		err = errs.New(errs.InvalidInput, "use an operation of package httpapi", "operation %q does not exist", op)
	}
	return reply, err
}

// withTag adds the tag of a list to the reply. It removes the content if its tag
// is knownTag, because the caller already has it.
func withTag(reply httpapi.Reply, knownTag string) (httpapi.Reply, error) {
	content, err := json.Marshal(reply)
	if err != nil {
		return reply, err
	}
	tag := fmt.Sprintf("%016x", hashOf(content))
	if tag == knownTag {
		return httpapi.Reply{Tag: tag, Unchanged: true}, nil
	}
	reply.Tag = tag
	return reply, nil
}

func hashOf(content []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(content)
	return hash.Sum64()
}

func singleRow(row provider.Row, err error) (any, error) {
	return httpapi.Reply{Rows: []provider.Row{row}}, err
}
