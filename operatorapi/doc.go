// Package operatorapi implements the HTTP API for operators: the request and
// response types, the interface Backend that an instance implements, the
// server that exposes a Backend, and a client.
//
// An error is sent as a JSON object with kind, message and remedy. The kind
// determines the HTTP status, and the client converts the object back to the
// typed error.
package operatorapi
