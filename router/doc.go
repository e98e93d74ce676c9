// Package router implements the request handling of one instance: admission,
// queueing, executor choice, slot credits, retries, claims and deadlines.
//
// State is a pure reducer. It performs no I/O, reads no clock and starts no
// goroutines; its only randomness comes from the seed in its Config. Package
// gateway turns network input into events and carries out the effects.
//
// Invariants:
//   - the attempts in flight at an executor never exceed the slots for which
//     the instance holds credits that are valid for the whole attempt;
//   - a non-idempotent request is sent only after its claim is durable, and
//     at most once;
//   - every accepted request gets exactly one Refuse, Deliver, Replay or
//     completed attempt, unless its caller disconnected.
package router
