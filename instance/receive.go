package instance

import (
	"context"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/core"
	"github.com/mangodrum/mangodrum/membership"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// peerView keeps the newest heartbeat of every peer for operators.
type peerView struct {
	mu    sync.Mutex
	beats map[structs.InstanceID]peer.Heartbeat
}

func (v *peerView) put(from structs.InstanceID, beat peer.Heartbeat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.beats == nil {
		v.beats = map[structs.InstanceID]peer.Heartbeat{}
	}
	v.beats[from] = beat
}

func (v *peerView) get(id structs.InstanceID) peer.Heartbeat {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.beats[id]
}

// receive handles one message of a peer. Malformed ones are counted and
// dropped.
func (i *Instance) receive(m peer.Message) {
	i.metrics.peerBytes.Add(len(m.Body))
	var err error
	switch m.Kind {
	case peer.KindHeartbeat:
		err = i.receiveHeartbeat(m)
	case peer.KindCredits:
		var message credits.Message
		if err = peer.Decode(m.Body, &message); err == nil {
			i.post(core.CreditMessageReceived{Message: message})
		}
	case peer.KindHandOver:
		var handover peer.HandOver
		if err = peer.Decode(m.Body, &handover); err == nil {
			i.post(ownership.HandOverReceived{Shard: handover.Shard})
		}
	case peer.KindSettings:
		var version settings.Version
		if err = peer.Decode(m.Body, &version); err == nil {
			i.post(settings.VersionsReceived{From: m.From, Versions: []settings.Version{version}})
		}
	case peer.KindCall:
		var call peer.Call
		if err = peer.Decode(m.Body, &call); err == nil {
			i.async(callTimeout, func(ctx context.Context) { i.answer(ctx, m.From, m.CallID, call) })
		}
	case peer.KindReply:
		var reply peer.Reply
		if err = peer.Decode(m.Body, &reply); err == nil {
			i.calls.table.deliver(m.CallID, reply)
		}
	}
	if err != nil {
		i.metrics.malformed.Inc()
	}
}

func (i *Instance) receiveHeartbeat(m peer.Message) error {
	var beat peer.Heartbeat
	if err := peer.Decode(m.Body, &beat); err != nil {
		return err
	}
	i.peerView.put(m.From, beat)
	i.post(membership.HeartbeatReceived{
		From: m.From, Incarnation: beat.Incarnation, At: beat.SentAt, Info: beat.Info,
		Status: membership.Status(beat.Status),
	})
	i.post(settings.VersionAnnounced{From: m.From, Number: beat.SettingsVersion})
	return nil
}

// answer carries out a call of a peer and sends the reply.
func (i *Instance) answer(ctx context.Context, to structs.InstanceID, ref uint64, call peer.Call) {
	result, err := i.execute(ctx, call)
	body, encodeErr := peer.Encode(peer.NewReply(result, err))
	if encodeErr == nil {
		i.sendReply(ctx, to, peer.Message{Kind: peer.KindReply, CallID: ref, Body: body})
	}
}

// sendReply sends until the caller is a known peer or ctx ends. An instance
// that just started calls others before they have read it from the directory.
func (i *Instance) sendReply(ctx context.Context, to structs.InstanceID, reply peer.Message) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !i.node.Send(to, reply) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// requestCredits takes a message of the gateway to the owner of the executors.
// A grant that the loop delivers can cause one.
func (i *Instance) requestCredits(message credits.Message) {
	i.tryPost(core.CreditMessageReceived{Message: message})
}

// sendCredits delivers a message about credits; To may be this instance.
func (i *Instance) sendCredits(e core.SendCreditMessage) {
	if e.To == i.options.Info.ID {
		i.gateway.HandleCreditMessage(e.Message)
		return
	}
	body, err := peer.Encode(e.Message)
	if err == nil {
		i.node.Send(e.To, peer.Message{Kind: peer.KindCredits, Body: body})
	}
}
