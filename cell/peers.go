package cell

import (
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
)

// callRegistry matches replies from peers to pending calls.
type callRegistry struct {
	mu      sync.Mutex
	ids     peer.CallIDs
	replies map[uint64]chan peer.Reply
}

func newCallRegistry() *callRegistry { return &callRegistry{replies: map[uint64]chan peer.Reply{}} }

// add registers a call and returns its identifier and the channel for its reply.
func (c *callRegistry) add() (uint64, chan peer.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.ids.Next()
	ch := make(chan peer.Reply, 1)
	c.replies[id] = ch
	return id, ch
}

func (c *callRegistry) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, id)
}

// deliver passes a reply to the call that waits for it, if any. It returns false for
// a reply to a call of an earlier process of this instance.
func (c *callRegistry) deliver(id uint64, r peer.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ids.IsOwn(id) {
		return false
	}
	if ch := c.replies[id]; ch != nil {
		delete(c.replies, id)
		ch <- r
	}
	return true
}

// call makes a call to a peer and waits for its reply. The error is NotRun if
// the call was certainly not sent.
func (i *Instance) call(to structs.InstanceID, method string, in, out any, timeout time.Duration) error {
	body, err := peer.Encode(in)
	if err != nil {
		return err
	}
	envelope, err := peer.Encode(peer.Call{Method: method, Body: body})
	if err != nil {
		return err
	}
	callID, replies := i.pendingCalls.add()
	defer i.pendingCalls.remove(callID)
	if !i.transport.Send(to, peer.Message{Kind: peer.KindCall, CallID: callID, Body: envelope}) {
		return errs.New(errs.NotRun, "try again", "instance %s is not connected", to)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		if err := reply.Err(); err != nil {
			return err
		}
		return peer.Decode(reply.Body, out)
	case <-timer.C:
		return errs.New(errs.OutcomeUnknown, "repeat the call", "instance %s did not answer %s within %s", to, method, timeout)
	case <-i.ctx.Done():
		return errs.New(errs.OutcomeUnknown, "call another instance", "this instance is shutting down")
	}
}

// receive handles a message from a peer.
func (i *Instance) receive(m peer.Message) {
	switch m.Kind {
	case peer.KindLeaderHeartbeat:
		i.receiveHeartbeat(m)
	case peer.KindLeaderHeartbeatReply:
		i.receiveHeartbeatReply(m)
	case peer.KindCall:
		var call peer.Call
		if err := peer.Decode(m.Body, &call); err != nil {
			i.log.Warn("dropped a malformed call from a peer", "peer", m.From, "error", err)
			return
		}
		end, err := i.servedCalls.begin(&call)
		if err != nil {
			i.metrics.count("peer_calls_refused", "method", knownMethod(call.Method))
			i.send(m.From, peer.KindReply, m.CallID, peer.NewReply(nil, err))
			return
		}
		i.spawn("call", func() {
			defer end()
			i.serveCall(m.From, m.CallID, call)
		})
	case peer.KindReply:
		var reply peer.Reply
		if err := peer.Decode(m.Body, &reply); err != nil {
			i.log.Warn("dropped a malformed reply from a peer", "peer", m.From, "error", err)
			return
		}
		if !i.pendingCalls.deliver(m.CallID, reply) {
			i.metrics.count("peer_replies_dropped", "peer", i.peerLabel(m.From))
		}
	}
}

// disconnected makes the election suspect the leader at once if its connection
// was lost, as it is when its process ends.
func (i *Instance) disconnected(from structs.InstanceID) {
	if _, remote, _ := i.currentLeader(); remote == from && remote != "" {
		i.tryPostElectionEvent(leadership.ConnectionLost{})
	}
}

// tryPostElectionEvent passes an event to the election unless its queue is full.
// A dropped event does no harm, since a later heartbeat or tick has the same
// effect.
func (i *Instance) tryPostElectionEvent(event structs.Event) {
	select {
	case i.electionEvents <- event:
	default:
	}
}

func (i *Instance) receiveHeartbeat(m peer.Message) {
	var received heartbeat
	if err := peer.Decode(m.Body, &received); err != nil {
		i.log.Warn("dropped a malformed heartbeat", "peer", m.From, "error", err)
		return
	}
	if received.Ended {
		i.tryPostElectionEvent(leadership.ConnectionLost{})
		return
	}
	if local, _, _ := i.currentLeader(); local != nil {
		if received.Epoch > local.epoch {
			local.depose("another instance leads", received.Epoch)
		}
		return
	}
	if !i.setLeader(nil, m.From, received.Epoch) {
		return // an earlier leader that does not know yet that it was deposed
	}
	i.transport.SetPeers([]structs.InstanceInfo{{ID: m.From, PeerAddress: received.Address}})
	if len(received.Config) > 0 {
		i.applyConfig(received.Config, "leader")
	}
	reply := heartbeatReply{ConfigVersion: i.config.version(), Uptime: time.Duration(i.clock.Now())}
	if reply.ConfigVersion > received.ConfigVersion {
		reply.Config = i.config.encodedValue()
	}
	i.send(m.From, peer.KindLeaderHeartbeatReply, 0, reply)
	i.tryPostElectionEvent(leadership.HeartbeatReceived{Epoch: received.Epoch, StoreHealthy: received.StoreHealthy, MaxProcessorShare: received.MaxProcessorShare})
}

// receiveHeartbeatReply records which version of the configuration a follower
// has.
func (i *Instance) receiveHeartbeatReply(m peer.Message) {
	var reply heartbeatReply
	if err := peer.Decode(m.Body, &reply); err != nil {
		i.log.Warn("dropped a malformed heartbeat reply", "peer", m.From, "error", err)
		return
	}
	if len(reply.Config) > 0 {
		i.applyConfig(reply.Config, "follower")
	}
	if local, _, _ := i.currentLeader(); local != nil {
		local.recordHeartbeatReply(m.From, reply)
	}
}

// send queues a message. The timeouts of the protocols cover lost messages.
func (i *Instance) send(to structs.InstanceID, kind peer.Kind, callID uint64, body any) {
	data, err := peer.Encode(body)
	if err != nil {
		i.log.Error("failed to encode a message to a peer", "error", err)
		return
	}
	if !i.transport.Send(to, peer.Message{Kind: kind, CallID: callID, Body: data}) {
		i.metrics.count("peer_messages_lost", "peer", i.peerLabel(to))
	}
}

// peerLabel returns the label of an instance in metrics. A message can give any name as its
// sender, and a label for each would use memory without bound.
func (i *Instance) peerLabel(id structs.InstanceID) string {
	local, remote, _ := i.currentLeader()
	if id == remote || (local != nil && local.hasPeer(id)) {
		return string(id)
	}
	return "other"
}

// serveCall executes a call from a peer and sends the reply.
func (i *Instance) serveCall(from structs.InstanceID, callID uint64, call peer.Call) {
	var out any
	var err error
	switch call.Method {
	case methodAdvise:
		var in adviseCall
		if err = peer.Decode(call.Body, &in); err == nil {
			out = i.advise(in)
		}
	case methodStore:
		var in storeCall
		if err = peer.Decode(call.Body, &in); err == nil {
			out = i.serveStore(in)
		}
	default:
		var in jobCall
		if err = peer.Decode(call.Body, &in); err == nil {
			out = i.serveJobCall(call.Method, in)
		}
	}
	var body []byte
	if err == nil {
		body, err = peer.Encode(out)
	}
	i.send(from, peer.KindReply, callID, peer.NewReply(body, err))
}

// maxServedCallTime bounds a call from another instance. It is longer than the
// other instance waits.
const maxServedCallTime = 3 * time.Second

// serveJobCall executes a job call from a peer if this instance leads.
func (i *Instance) serveJobCall(method string, in jobCall) jobReply {
	local, _, _ := i.currentLeader()
	if local == nil {
		return jobReply{NotLeader: true}
	}
	return local.handleJobCall(method, in, maxServedCallTime)
}

// advise calls the advisor for this or another instance.
func (i *Instance) advise(in adviseCall) adviseReply {
	started := time.Now()
	advice, err := i.options.Advisor.Advise(in.Step, in.Workers, in.Timeout)
	if err != nil {
		i.log.Warn("advisor call failed", "step", in.Step, "workers", len(in.Workers), "after", time.Since(started).String(), "error", err)
		return adviseReply{Failed: true}
	}
	return adviseReply{Advice: advice}
}
