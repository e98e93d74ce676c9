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
	// upstream must stop getting new work.
	directoryInterval = time.Second
	heartbeatInterval = time.Second
	directoryTimeout  = 2 * time.Second

	// The first initialHeartbeats heartbeats carry the sender's InstanceInfo,
	// because peers may not have read it from the directory yet. Later only
	// one of heartbeatsPerInfo carries it, because it takes more than half of
	// a heartbeat's bytes.
	initialHeartbeats = 30
	heartbeatsPerInfo = 10
)

// runPeriodically calls f immediately and then once per interval until ctx is
// done.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
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

// keepDirectoryCurrent registers this instance in the platform's directory
// and reads the directory's lists periodically until ctx is done.
func (i *Instance) keepDirectoryCurrent(ctx context.Context) {
	registered := false
	var previous core.DirectoryRead
	runPeriodically(ctx, directoryInterval, func() {
		if !registered {
			registered = i.register(ctx, structs.Live)
		}
		previous = i.refreshDirectory(ctx, previous)
	})
}

// register writes this instance with the given state to the directory and
// reports whether that succeeded.
func (i *Instance) register(ctx context.Context, state structs.Lifecycle) bool {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	self := i.options.Info
	self.State = state
	return i.options.Directory.Register(ctx, self) == nil
}

// refreshDirectory reads all lists of the directory. If one changed, it passes
// them to the gateway and the reducer. If a read fails, the previous lists
// stay in use. It returns the lists in use.
func (i *Instance) refreshDirectory(ctx context.Context, previous core.DirectoryRead) core.DirectoryRead {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	read, err := i.fetchDirectory(ctx)
	if err != nil {
		i.metrics.directoryErrors.Inc()
		return previous
	}
	i.metrics.directoryReadAt.Store(int64(i.now()))
	if reflect.DeepEqual(read, previous) {
		return previous
	}
	i.gateway.SetExecutors(read.Executors)
	i.post(read)
	return read
}

func (i *Instance) fetchDirectory(ctx context.Context) (read core.DirectoryRead, err error) {
	if read.Instances, err = i.options.Directory.Instances(ctx); err != nil {
		return read, err
	}
	if read.Workers, err = i.options.Directory.Workers(ctx); err != nil {
		return read, err
	}
	read.Executors, err = i.options.Directory.Executors(ctx)
	return read, err
}

// sendHeartbeats sends a heartbeat to all peers periodically.
func (i *Instance) sendHeartbeats(ctx context.Context) {
	runPeriodically(ctx, heartbeatInterval, func() {
		heartbeat, peers := i.buildHeartbeat()
		body, err := peer.Encode(heartbeat)
		if err != nil {
			return
		}
		for _, p := range peers {
			i.peerNode.Send(p.ID, peer.Message{Kind: peer.KindHeartbeat, Body: body})
		}
	})
}

// buildHeartbeat returns the next heartbeat and the peers to send it to. It
// must be called by one goroutine only, which owns heartbeatsSent.
func (i *Instance) buildHeartbeat() (peer.Heartbeat, []structs.InstanceInfo) {
	heartbeat := peer.Heartbeat{
		Incarnation: i.incarnation, Status: string(membership.Live),
		Ready: i.Ready(), StoreHealthy: i.storeHealth.isHealthy(), SentAt: i.now(),
		RequestsInFlight: uint32(i.gateway.Stats().Requests),
	}
	if i.heartbeatsSent < initialHeartbeats || i.heartbeatsSent%heartbeatsPerInfo == 0 {
		heartbeat.Info = &i.options.Info
	}
	i.heartbeatsSent++
	if i.draining.Load() {
		heartbeat.Status = string(membership.Leaving)
	}
	var peers []structs.InstanceInfo
	i.readState(func(now structs.Timestamp, state *core.State) {
		heartbeat.SettingsVersion, _ = state.Settings().Current()
		i.settingsLag.update(now, heartbeat.SettingsVersion, state.Settings().LatestKnownVersion())
		heartbeat.Shards = state.OwnedEpochs()
		peers = state.Membership().Peers()
	})
	return heartbeat, peers
}
