// Package standin is a small in-memory stand-in for the platform: table,
// objects, directory, workers and executors, with faults on request. It
// serves the development command and the tests; it is no product.
package standin
