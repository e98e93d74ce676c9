// Package operatorapi declares the operators' HTTP API: its request and
// response types, the interface Backend that a daemon implements, the server
// that exposes a Backend, and the client.
//
// Errors travel as a JSON object with kind, message and remedy; the status of
// the response follows from the kind, and the client restores the typed error.
package operatorapi
