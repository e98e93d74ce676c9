// Package standin simulates the platform in memory: table, object store,
// directory, workers and executors, with faults on request. It is meant for the
// development command and for tests, not for production.
package standin
