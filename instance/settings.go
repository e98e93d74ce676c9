package instance

import (
	"context"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// maxVersions bounds the versions of one reply.
const maxVersions = 100

// performSettings carries out an effect of the settings follower.
func (i *Instance) performSettings(effect structs.Effect) {
	switch e := effect.(type) {
	case settings.ReadHead:
		i.async(tableTimeout, i.readHead)
	case settings.FetchVersions:
		i.async(tableTimeout, func(ctx context.Context) { i.fetchVersions(ctx, e) })
	case settings.FetchTree:
		i.async(loadTimeout, func(ctx context.Context) { i.fetchTree(ctx, e) })
	case settings.InForce:
		i.metrics.noteSettings(e.Number)
		i.log.Info("settings in force", "version", e.Number, "changes", len(e.Changes))
		i.gateway.SetPolicy(core.RouterPolicy(e.Tree))
	case settings.BecameReady:
		i.ready.Store(true)
		i.log.Info("instance ready", "settings", e.Number)
	}
}

func (i *Instance) readHead(ctx context.Context) {
	head, err := i.store.Head(ctx)
	if err != nil {
		i.post(settings.HeadReadFailed{})
		return
	}
	i.post(settings.HeadRead{Head: head})
}

func (i *Instance) fetchVersions(ctx context.Context, e settings.FetchVersions) {
	versions, err := i.versionsFrom(ctx, e)
	if err != nil {
		i.post(settings.FetchFailed{From: e.From})
		return
	}
	i.post(settings.VersionsReceived{From: e.From, Versions: versions})
}

func (i *Instance) versionsFrom(ctx context.Context, e settings.FetchVersions) ([]settings.Version, error) {
	if e.From == "" {
		return i.store.Versions(ctx, e.After, maxVersions)
	}
	return remote[[]settings.Version](ctx, i, e.From, methodVersions, "", e.After)
}

func (i *Instance) fetchTree(ctx context.Context, e settings.FetchTree) {
	received, err := i.treeFrom(ctx, e)
	if err != nil {
		i.post(settings.FetchFailed{From: e.From})
		return
	}
	i.post(received)
}

func (i *Instance) treeFrom(ctx context.Context, e settings.FetchTree) (settings.TreeReceived, error) {
	if e.From == "" {
		tree, err := i.store.Load(ctx, e.Number)
		if err != nil {
			return settings.TreeReceived{}, err
		}
		return settings.TreeReceived{Number: e.Number, Hash: tree.Hash(), Tree: tree}, nil
	}
	reply, err := remote[treeReply](ctx, i, e.From, methodTree, "", nil)
	if err != nil {
		return settings.TreeReceived{}, err
	}
	tree, err := settings.Decode("settings of "+string(e.From), reply.YAML)
	if err != nil {
		return settings.TreeReceived{}, err
	}
	return settings.TreeReceived{From: e.From, Number: reply.Number, Hash: reply.Hash, Tree: tree}, nil
}

// treeReply is the whole tree in force at an instance.
type treeReply struct {
	Number uint64 `cbor:"1,keyasint"`
	Hash   string `cbor:"2,keyasint"`
	YAML   []byte `cbor:"3,keyasint"`
}

func (i *Instance) ownTree() (treeReply, error) {
	var reply treeReply
	i.query(func(_ structs.Timestamp, state *core.State) {
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

// announce pushes an accepted version to all peers and applies it here.
func (i *Instance) announce(version settings.Version) {
	i.post(settings.VersionsReceived{From: i.options.Info.ID, Versions: []settings.Version{version}})
	body, err := peer.Encode(version)
	if err != nil {
		return
	}
	var peers []structs.InstanceInfo
	i.query(func(_ structs.Timestamp, state *core.State) { peers = state.Members().Peers() })
	for _, p := range peers {
		i.node.Send(p.ID, peer.Message{Kind: peer.KindSettings, Body: body})
	}
}
