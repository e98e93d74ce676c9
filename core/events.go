package core

import (
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// DirectoryRead carries the instances, workers and executors that the
// platform's directory lists. The lists lag behind the actual state.
type DirectoryRead struct {
	Instances []structs.InstanceInfo
	Workers   []structs.Worker
	Executors []structs.Executor
}

// ShardLoaded carries the result of LoadShard.
type ShardLoaded struct {
	Shard  structs.ShardID
	Epoch  structs.Epoch
	Loaded eventlog.Loaded
	Err    error
}

// ShardEvent delivers an event to the scheduler of an owned shard. An event with
// a scheduler.CallID results in one scheduler.Reply.
type ShardEvent struct {
	Shard structs.ShardID
	Event structs.Event
}

// JournalEvent delivers the result of a journal effect.
type JournalEvent struct {
	Shard structs.ShardID
	Epoch structs.Epoch
	Event structs.Event
}

// SnapshotSaved carries the result of SaveSnapshot.
type SnapshotSaved struct {
	Shard structs.ShardID
	Epoch structs.Epoch
	Err   error
}

// CreditMessageReceived carries a message about slot credits: a request from
// this instance's gateway or from another instance, or a grant.
type CreditMessageReceived struct{ Message credits.Message }

// Drain starts the graceful shutdown of this instance: it hands over all its
// shards.
type Drain struct{}

// Tick advances the time; package instance sends it every 50 ms.
type Tick struct{}

// Kind implements structs.Event.
func (DirectoryRead) Kind() string { return "directory_read" }

// Kind implements structs.Event.
func (ShardLoaded) Kind() string { return "shard_loaded" }

// Kind implements structs.Event.
func (e ShardEvent) Kind() string { return e.Event.Kind() }

// Kind implements structs.Event.
func (e JournalEvent) Kind() string { return e.Event.Kind() }

// Kind implements structs.Event.
func (SnapshotSaved) Kind() string { return "snapshot_saved" }

// Kind implements structs.Event.
func (CreditMessageReceived) Kind() string { return "credits_received" }

// Kind implements structs.Event.
func (Drain) Kind() string { return "drain" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "tick" }

// PeersChanged lists the instances to keep connections to.
type PeersChanged struct{ Peers []structs.InstanceInfo }

// LoadShard requests the durable state of an acquired shard. The result is
// ShardLoaded.
type LoadShard struct {
	Shard structs.ShardID
	Epoch structs.Epoch
}

// ShardEffect carries an effect of a shard's scheduler: SendBatch, Reply or
// WaitObserved.
type ShardEffect struct {
	Shard  structs.ShardID
	Epoch  structs.Epoch
	Effect structs.Effect
}

// JournalEffect carries an effect of a shard's journal: CommitRow or ReadRow.
type JournalEffect struct {
	Shard  structs.ShardID
	Epoch  structs.Epoch
	Effect structs.Effect
}

// SaveSnapshot requests that a snapshot be stored and the journal truncated.
// The result is SnapshotSaved.
type SaveSnapshot struct {
	EpochCondition provider.Condition
	Snapshot       eventlog.Snapshot
}

// ShardChanged reports that the phase of a shard at this instance changed.
type ShardChanged struct {
	Shard structs.ShardID
	Epoch structs.Epoch
	Phase Phase
}

// SendCreditMessage requests the delivery of a message about slot credits. To
// may be this instance itself.
type SendCreditMessage struct {
	To      structs.InstanceID
	Message credits.Message
}

// NotifySuccessor requests a message that tells an instance that a shard was
// handed over to it.
type NotifySuccessor struct {
	Shard structs.ShardID
	To    structs.InstanceID
}

// Kind implements structs.Effect.
func (PeersChanged) Kind() string { return "peers_changed" }

// Kind implements structs.Effect.
func (LoadShard) Kind() string { return "load_shard" }

// Kind implements structs.Effect.
func (e ShardEffect) Kind() string { return e.Effect.Kind() }

// Kind implements structs.Effect.
func (e JournalEffect) Kind() string { return e.Effect.Kind() }

// Kind implements structs.Effect.
func (SaveSnapshot) Kind() string { return "save_snapshot" }

// Kind implements structs.Effect.
func (ShardChanged) Kind() string { return "shard_changed" }

// Kind implements structs.Effect.
func (SendCreditMessage) Kind() string { return "send_credits" }

// Kind implements structs.Effect.
func (NotifySuccessor) Kind() string { return "notify_successor" }
