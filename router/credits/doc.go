// Package credits contains the ledger in which the owner of a shard's executors
// accounts for slot credits, and the messages between the owner and the
// instances that hold credits.
//
// A credit is the right to use a number of slots and connections of one
// executor until an absolute time. The owner never lets the sum of the
// credits that may still be in use exceed the executor's slots or
// connections: a credit counts until its holder returns it, until its end plus
// the clock bound, or until the directory reports that the holder is gone.
//
// Ledger is a pure reducer: no I/O, no clock, no goroutines, no randomness.
package credits
