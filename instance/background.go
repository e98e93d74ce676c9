package instance

import (
	"context"
	"reflect"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// directoryInterval is a third of the 3 s within which a leaving
	// upstream gets no more work.
	directoryInterval = time.Second
	heartbeatInterval = time.Second
	directoryTimeout  = 2 * time.Second

	// A heartbeat carries the sender's addresses while its peers may not know
	// it from the directory yet, and later in one of infoBeats: they take more
	// than half of its bytes.
	startBeats = 30
	infoBeats  = 10
)

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readDirectory registers this instance and keeps reading the platform's lists.
func (i *Instance) readDirectory(ctx context.Context) {
	registered := false
	var known core.DirectoryRead
	every(ctx, directoryInterval, func() {
		if !registered {
			registered = i.register(ctx, structs.Live)
		}
		known = i.readLists(ctx, known)
	})
}

func (i *Instance) register(ctx context.Context, state structs.Lifecycle) bool {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	self := i.options.Info
	self.State = state
	return i.options.Directory.Register(ctx, self) == nil
}

// readLists reads all lists and passes them on if one changed. If a read
// fails, the older lists stay in use.
func (i *Instance) readLists(ctx context.Context, known core.DirectoryRead) core.DirectoryRead {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	read, err := i.lists(ctx)
	if err != nil {
		i.metrics.directoryErrors.Inc()
		return known
	}
	i.metrics.directoryRead.Store(int64(i.now()))
	if reflect.DeepEqual(read, known) {
		return known
	}
	i.gateway.SetExecutors(read.Executors)
	i.post(read)
	return read
}

func (i *Instance) lists(ctx context.Context) (read core.DirectoryRead, err error) {
	if read.Instances, err = i.options.Directory.Instances(ctx); err != nil {
		return read, err
	}
	if read.Workers, err = i.options.Directory.Workers(ctx); err != nil {
		return read, err
	}
	read.Executors, err = i.options.Directory.Executors(ctx)
	return read, err
}

// sendHeartbeats tells all peers what this instance holds.
func (i *Instance) sendHeartbeats(ctx context.Context) {
	every(ctx, heartbeatInterval, func() {
		beat, peers := i.heartbeat()
		body, err := peer.Encode(beat)
		if err != nil {
			return
		}
		for _, p := range peers {
			i.node.Send(p.ID, peer.Message{Kind: peer.KindHeartbeat, Body: body})
		}
	})
}

// heartbeat is called by one goroutine.
func (i *Instance) heartbeat() (peer.Heartbeat, []structs.InstanceInfo) {
	beat := peer.Heartbeat{
		Incarnation: i.incarnation, Status: string(membership.Live),
		Ready: i.Ready(), StoreHealthy: i.storeHealth.isHealthy(), SentAt: i.now(),
		RequestsInFlight: uint32(i.gateway.Stats().Requests),
	}
	if i.beats < startBeats || i.beats%infoBeats == 0 {
		beat.Info = &i.options.Info
	}
	i.beats++
	if i.draining.Load() {
		beat.Status = string(membership.Leaving)
	}
	var peers []structs.InstanceInfo
	i.query(func(now structs.Timestamp, state *core.State) {
		beat.SettingsVersion, _ = state.Settings().Current()
		i.settingsLag.observe(now, beat.SettingsVersion, state.Settings().LatestKnownVersion())
		beat.Shards = state.OwnedEpochs()
		peers = state.Membership().Peers()
	})
	return beat, peers
}
