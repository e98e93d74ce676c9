package instance

import (
	"context"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// performSettingsEffect carries out an effect of the settings follower, which
// brings this instance to the newest settings version.
func (i *Instance) performSettingsEffect(effect structs.Effect) {
	switch e := effect.(type) {
	case settings.ReadHead:
		i.fetchSettings(e, "")
	case settings.FetchVersions:
		i.fetchSettings(e, e.From)
	case settings.FetchTree:
		i.fetchSettings(e, e.From)
	case settings.InForce:
		i.metrics.recordSettingsVersion(e.Number)
		i.log.Info("settings in force", "version", e.Number, "changes", len(e.Changes))
		i.gateway.SetPolicy(core.RouterPolicy(e.Tree))
	case settings.BecameReady:
		i.ready.Store(true)
		i.log.Info("instance ready", "settings", e.Number)
	}
}

// fetchSettings fetches the versions or the tree that the follower requests
// from a peer, or from the store if from is empty.
func (i *Instance) fetchSettings(effect structs.Effect, from structs.InstanceID) {
	i.runAsync(loadTimeout, func(ctx context.Context) {
		if from == "" {
			i.post(i.settingsStore.Execute(ctx, effect))
			return
		}
		event, err := i.fetchSettingsFromPeer(ctx, effect)
		if err != nil {
			event = settings.FetchFailed{From: from}
		}
		i.post(event)
	})
}

func (i *Instance) fetchSettingsFromPeer(ctx context.Context, effect structs.Effect) (structs.Event, error) {
	switch e := effect.(type) {
	case settings.FetchVersions:
		versions, err := callPeer[[]settings.Version](ctx, i, e.From, methodVersions, "", e.After)
		return settings.VersionsReceived{From: e.From, Versions: versions}, err
	case settings.FetchTree:
		reply, err := callPeer[treeReply](ctx, i, e.From, methodTree, "", nil)
		if err != nil {
			return nil, err
		}
		tree, err := settings.DecodeVersion(reply.Number, reply.Hash, reply.YAML)
		return settings.TreeReceived{From: e.From, Number: reply.Number, Hash: reply.Hash, Tree: tree}, err
	}
	return nil, errs.New(errs.Failed, "report this bug", "no peer can answer %q", effect.Kind())
}

// treeReply is the reply to methodTree: the settings tree in force at the
// instance.
type treeReply struct {
	Number uint64 `cbor:"1,keyasint"`
	Hash   string `cbor:"2,keyasint"`
	YAML   []byte `cbor:"3,keyasint"`
}

func (i *Instance) currentTree() (treeReply, error) {
	var reply treeReply
	i.readState(func(_ structs.Timestamp, state *core.State) {
		number, tree := state.Settings().Current()
		if tree != nil {
			reply = treeReply{Number: number, Hash: state.Settings().Hash(), YAML: tree.Encode()}
		}
	})
	if reply.Number == 0 {
		return reply, errs.New(errs.NotRun, "ask another instance", "no settings are in force yet")
	}
	return reply, nil
}

// versionsAfter returns the settings versions after number. It reads them from
// memory, so that peers can catch up while the store is down.
func (i *Instance) versionsAfter(number uint64) ([]settings.Version, error) {
	var versions []settings.Version
	kept := false
	i.readState(func(_ structs.Timestamp, state *core.State) { versions, kept = state.Settings().VersionsAfter(number) })
	if !kept {
		return nil, errs.New(errs.NotRun, "fetch the whole tree", "versions after %d are not kept", number)
	}
	return versions, nil
}

// announceVersion passes a committed settings version to the local follower
// and sends it to all peers.
func (i *Instance) announceVersion(version settings.Version) {
	i.post(settings.VersionsReceived{From: i.options.Info.ID, Versions: []settings.Version{version}})
	body, err := peer.Encode(version)
	if err != nil {
		return
	}
	var peers []structs.InstanceInfo
	i.readState(func(_ structs.Timestamp, state *core.State) { peers = state.Membership().Peers() })
	for _, p := range peers {
		i.peerNode.Send(p.ID, peer.Message{Kind: peer.KindSettings, Body: body})
	}
}
