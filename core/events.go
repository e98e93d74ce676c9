package core

import (
	"github.com/mangodrum/mangodrum/eventlog"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// DirectoryRead carries the platform's lagging lists.
type DirectoryRead struct {
	Instances []structs.InstanceInfo
	Workers   []structs.Worker
	Executors []structs.Executor
}

// ShardLoaded answers LoadShard.
type ShardLoaded struct {
	Shard  structs.ShardID
	Epoch  structs.Epoch
	Loaded eventlog.Loaded
	Err    error
}

// ToShard delivers an event to the scheduler of an owned shard. Call is set
// if the event expects a scheduler.Reply.
type ToShard struct {
	Shard structs.ShardID
	Event structs.Event
}

// ToJournal delivers the result of a journal effect.
type ToJournal struct {
	Shard structs.ShardID
	Epoch structs.Epoch
	Event structs.Event
}

// SnapshotSaved answers SaveSnapshot.
type SnapshotSaved struct {
	Shard structs.ShardID
	Epoch structs.Epoch
	Err   error
}

// CreditsReceived carries a message about slot credits: a request of this
// instance's gateway or of another instance, or a grant.
type CreditsReceived struct{ Message credits.Message }

// Drain begins the planned stop of this instance.
type Drain struct{}

// Tick lets time pass; the shell sends it every 50 ms.
type Tick struct{}

// Kind implements structs.Event.
func (DirectoryRead) Kind() string { return "directory_read" }

// Kind implements structs.Event.
func (ShardLoaded) Kind() string { return "shard_loaded" }

// Kind implements structs.Event.
func (e ToShard) Kind() string { return e.Event.Kind() }

// Kind implements structs.Event.
func (e ToJournal) Kind() string { return e.Event.Kind() }

// Kind implements structs.Event.
func (SnapshotSaved) Kind() string { return "snapshot_saved" }

// Kind implements structs.Event.
func (CreditsReceived) Kind() string { return "credits_received" }

// Kind implements structs.Event.
func (Drain) Kind() string { return "drain" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "tick" }

// PeersChanged tells which instances to keep connections to.
type PeersChanged struct{ Peers []structs.InstanceInfo }

// LoadShard asks for the durable state of an acquired shard.
type LoadShard struct {
	Shard structs.ShardID
	Epoch structs.Epoch
}

// FromShard carries an effect of a shard's scheduler: SendBatch, Reply or
// WaitObserved.
type FromShard struct {
	Shard  structs.ShardID
	Epoch  structs.Epoch
	Effect structs.Effect
}

// FromJournal carries an effect of a shard's journal: CommitRow or ReadRow.
type FromJournal struct {
	Shard  structs.ShardID
	Epoch  structs.Epoch
	Effect structs.Effect
}

// SaveSnapshot asks to store a snapshot and to shorten the journal.
type SaveSnapshot struct {
	Guard    provider.Condition
	Snapshot eventlog.Snapshot
}

// ShardChanged tells that the shard's state at this instance changed.
type ShardChanged struct {
	Shard structs.ShardID
	Epoch structs.Epoch
	Phase Phase
}

// SendCredits asks to deliver a message about slot credits. To may be this
// instance itself.
type SendCredits struct {
	To      structs.InstanceID
	Message credits.Message
}

// NotifySuccessor tells an instance that a shard was handed over to it.
type NotifySuccessor struct {
	Shard structs.ShardID
	To    structs.InstanceID
}

// Kind implements structs.Effect.
func (PeersChanged) Kind() string { return "peers_changed" }

// Kind implements structs.Effect.
func (LoadShard) Kind() string { return "load_shard" }

// Kind implements structs.Effect.
func (e FromShard) Kind() string { return e.Effect.Kind() }

// Kind implements structs.Effect.
func (e FromJournal) Kind() string { return e.Effect.Kind() }

// Kind implements structs.Effect.
func (SaveSnapshot) Kind() string { return "save_snapshot" }

// Kind implements structs.Effect.
func (ShardChanged) Kind() string { return "shard_changed" }

// Kind implements structs.Effect.
func (SendCredits) Kind() string { return "send_credits" }

// Kind implements structs.Effect.
func (NotifySuccessor) Kind() string { return "notify_successor" }
