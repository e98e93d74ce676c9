// Package httpapi is the client of the platform's HTTP protocol: one POST per
// operation with a JSON object in and out.
package httpapi

import (
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// MaxBodyBytes limits the size of a request or response body.
const MaxBodyBytes = 64 << 20

// Operations of the protocol. The name of an operation is its path.
const (
	OpGet          = "table/get"
	OpScan         = "table/scan"
	OpCommit       = "table/commit"
	OpPutObject    = "objects/put"
	OpGetObject    = "objects/get"
	OpListObjects  = "objects/list"
	OpDeleteObject = "objects/delete"
	OpRegister     = "directory/register"
	OpInstances    = "directory/instances"
	OpWorkers      = "directory/workers"
	OpExecutors    = "directory/executors"
	OpWorkerDo     = "workers/do"
)

// Request holds the arguments of an operation. Each operation uses some of the
// fields.
type Request struct {
	Key      string               `json:"key,omitempty"`
	Prefix   string               `json:"prefix,omitempty"`
	After    string               `json:"after,omitempty"`
	Limit    int                  `json:"limit,omitempty"`
	Txn      provider.Txn         `json:"txn,omitzero"`
	Data     []byte               `json:"data,omitempty"`
	Instance structs.InstanceInfo `json:"instance,omitzero"`
	Worker   structs.WorkerID     `json:"worker,omitempty"`
	Batch    provider.WorkerBatch `json:"batch,omitzero"`
	// IfNotTag requests a list of the directory only if its tag differs from this
	// one.
	IfNotTag string `json:"if_not_tag,omitempty"`
}

// Response holds the results of an operation. Each operation uses some of the
// fields.
type Response struct {
	Rows      []provider.Row         `json:"rows,omitempty"`
	Versions  map[string]uint64      `json:"versions,omitempty"`
	Data      []byte                 `json:"data,omitempty"`
	Names     []string               `json:"names,omitempty"`
	Instances []structs.InstanceInfo `json:"instances,omitempty"`
	Workers   []structs.Worker       `json:"workers,omitempty"`
	Executors []structs.Executor     `json:"executors,omitempty"`
	Report    provider.WorkerReport  `json:"report,omitzero"`
	// Tag identifies the content of a list. Unchanged is sent instead of the
	// content if the caller already has it, because lists change a few hundred
	// times a day and are read every second.
	Tag       string `json:"tag,omitempty"`
	Unchanged bool   `json:"unchanged,omitempty"`
}

// ErrorBody is the body of a response whose status is not 200.
type ErrorBody struct {
	Kind    errs.Kind `json:"kind"`
	Message string    `json:"message"`
}

// HTTPStatus returns the HTTP status for err.
func HTTPStatus(err error) int {
	switch errs.KindOf(err) {
	case errs.NotFound:
		return 404
	case errs.Conflict:
		return 409
	case errs.InvalidInput:
		return 400
	case errs.NotRun:
		return 503
	}
	return 500
}
