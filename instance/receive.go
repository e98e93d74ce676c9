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

// latestHeartbeats keeps the latest heartbeat of every peer, for the status
// that operators see.
type latestHeartbeats struct {
	mu         sync.Mutex
	byInstance map[structs.InstanceID]peer.Heartbeat
}

func (v *latestHeartbeats) put(from structs.InstanceID, heartbeat peer.Heartbeat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byInstance == nil {
		v.byInstance = map[structs.InstanceID]peer.Heartbeat{}
	}
	v.byInstance[from] = heartbeat
}

// get returns the latest heartbeat of a peer, or the zero value if there is
// none.
func (v *latestHeartbeats) get(id structs.InstanceID) peer.Heartbeat {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byInstance[id]
}

// receive handles one message from a peer. Malformed messages are counted and
// dropped.
func (i *Instance) receive(m peer.Message) {
	i.metrics.peerBytesReceived.Add(len(m.Body))
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
			i.runAsync(callTimeout, func(ctx context.Context) { i.answerCall(ctx, m.From, m.CallID, call) })
		}
	case peer.KindReply:
		var reply peer.Reply
		if err = peer.Decode(m.Body, &reply); err == nil {
			if !i.peerCalls.pending.deliver(m.CallID, reply) {
				i.metrics.foreignReplies.Inc()
			}
		}
	}
	if err != nil {
		i.metrics.malformedMessages.Inc()
	}
}

func (i *Instance) receiveHeartbeat(m peer.Message) error {
	var heartbeat peer.Heartbeat
	if err := peer.Decode(m.Body, &heartbeat); err != nil {
		return err
	}
	i.peerHeartbeats.put(m.From, heartbeat)
	i.post(membership.HeartbeatReceived{
		From: m.From, Incarnation: heartbeat.Incarnation, At: heartbeat.SentAt, Info: heartbeat.Info,
		Status: membership.Status(heartbeat.Status),
	})
	i.post(settings.VersionAnnounced{From: m.From, Number: heartbeat.SettingsVersion})
	return nil
}

// answerCall carries out a call from a peer and sends the reply.
func (i *Instance) answerCall(ctx context.Context, to structs.InstanceID, ref uint64, call peer.Call) {
	result, err := i.executeCall(ctx, call)
	body, encodeErr := peer.Encode(peer.NewReply(result, err))
	if encodeErr == nil {
		i.sendReply(ctx, to, peer.Message{Kind: peer.KindReply, CallID: ref, Body: body})
	}
}

// sendReply sends a reply to a peer and retries until the peer is known and the
// reply is sent, or ctx is done. An instance that has just started may call
// others before they have read it from the directory.
func (i *Instance) sendReply(ctx context.Context, to structs.InstanceID, reply peer.Message) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !i.peerNode.Send(to, reply) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// requestCredits passes the gateway's message about credits to the reducer. It
// does not block, because a credit grant that the event loop delivers to the
// gateway can cause such a message.
func (i *Instance) requestCredits(message credits.Message) {
	i.tryPost(core.CreditMessageReceived{Message: message})
}

// sendCredits delivers a message about credits to an instance, which may be
// this one.
func (i *Instance) sendCredits(e core.SendCreditMessage) {
	if e.To == i.options.Info.ID {
		i.gateway.HandleCreditMessage(e.Message)
		return
	}
	body, err := peer.Encode(e.Message)
	if err == nil {
		i.peerNode.Send(e.To, peer.Message{Kind: peer.KindCredits, Body: body})
	}
}
