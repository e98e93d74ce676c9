package cell

import (
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
)

// callTable matches replies of peers to calls.
type callTable struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan peer.Reply
}

func newCallTable() *callTable { return &callTable{waiting: map[uint64]chan peer.Reply{}} }

func (t *callTable) open() (uint64, chan peer.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	ch := make(chan peer.Reply, 1)
	t.waiting[t.next] = ch
	return t.next, ch
}

func (t *callTable) closeRef(ref uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, ref)
}

func (t *callTable) reply(ref uint64, r peer.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch := t.waiting[ref]; ch != nil {
		delete(t.waiting, ref)
		ch <- r
	}
}

// call sends a call to a peer and waits for its reply. The error is NotRun if
// the call certainly was not sent.
func (i *Instance) call(to structs.InstanceID, method string, in, out any, timeout time.Duration) error {
	body, err := peer.Encode(in)
	if err != nil {
		return err
	}
	envelope, err := peer.Encode(peer.Call{Method: method, Body: body})
	if err != nil {
		return err
	}
	ref, replies := i.calls.open()
	defer i.calls.closeRef(ref)
	if !i.node.Send(to, peer.Message{Kind: peer.KindCall, CallID: ref, Body: envelope}) {
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
		return errs.New(errs.OutcomeUnknown, "ask again", "instance %s did not answer %s in %s", to, method, timeout)
	case <-i.ctx.Done():
		return errs.New(errs.OutcomeUnknown, "ask another instance", "the instance stops")
	}
}

// receive handles a message of a peer.
func (i *Instance) receive(m peer.Message) {
	switch m.Kind {
	case peer.KindLeaderHeartbeat:
		i.receiveHeartbeat(m)
	case peer.KindLeaderHeartbeatReply:
		i.receiveEcho(m)
	case peer.KindCall:
		var call peer.Call
		if err := peer.Decode(m.Body, &call); err != nil {
			i.log.Warn("a peer's call was dropped", "peer", m.From, "error", err)
			return
		}
		i.group.Go(func() { i.serveCall(m.From, m.CallID, call) })
	case peer.KindReply:
		var reply peer.Reply
		if err := peer.Decode(m.Body, &reply); err != nil {
			i.log.Warn("a peer's reply was dropped", "peer", m.From, "error", err)
			return
		}
		i.calls.reply(m.CallID, reply)
	}
}

// disconnected speeds up the suspicion of a leader whose process has ended.
func (i *Instance) disconnected(from structs.InstanceID) {
	if _, remote, _ := i.current(); remote == from && remote != "" {
		i.hint(leadership.ConnectionLost{})
	}
}

// hint passes an event to the election unless it is busy; the next heartbeat
// or tick tells the same.
func (i *Instance) hint(event structs.Event) {
	select {
	case i.follower <- event:
	default:
	}
}

func (i *Instance) receiveHeartbeat(m peer.Message) {
	var beat heartbeat
	if err := peer.Decode(m.Body, &beat); err != nil {
		i.log.Warn("a heartbeat was dropped", "peer", m.From, "error", err)
		return
	}
	if beat.Ended {
		i.hint(leadership.ConnectionLost{})
		return
	}
	if local, _, _ := i.current(); local != nil {
		if beat.Epoch > local.epoch {
			local.depose("another instance leads", beat.Epoch)
		}
		return
	}
	if !i.setLeader(nil, m.From, beat.Epoch) {
		return // an earlier leader that does not know yet
	}
	i.node.SetPeers([]structs.InstanceInfo{{ID: m.From, PeerAddress: beat.Address}})
	if len(beat.Config) > 0 {
		i.apply(beat.Config, "leader")
	}
	answer := echo{ConfigVersion: i.config.version()}
	if answer.ConfigVersion > beat.ConfigVersion {
		answer.Config = i.config.value()
	}
	i.send(m.From, peer.KindLeaderHeartbeatReply, 0, answer)
	i.hint(leadership.HeartbeatReceived{Epoch: beat.Epoch, StoreHealthy: beat.StoreHealthy, MaxProcessorShare: beat.Strongest})
}

// receiveEcho notes which configuration a follower has.
func (i *Instance) receiveEcho(m peer.Message) {
	var e echo
	if err := peer.Decode(m.Body, &e); err != nil {
		i.log.Warn("an echo was dropped", "peer", m.From, "error", err)
		return
	}
	if len(e.Config) > 0 {
		i.apply(e.Config, "follower")
	}
	if local, _, _ := i.current(); local != nil {
		local.heardFrom(m.From, e.ConfigVersion)
	}
}

// send queues a message; a lost one is covered by timeouts of the protocols.
func (i *Instance) send(to structs.InstanceID, kind peer.Kind, ref uint64, body any) {
	data, err := peer.Encode(body)
	if err != nil {
		i.log.Error("encode a peer message", "error", err)
		return
	}
	if !i.node.Send(to, peer.Message{Kind: kind, CallID: ref, Body: data}) {
		i.metrics.count("peer_messages_lost", "peer", string(to))
	}
}

func (i *Instance) serveCall(from structs.InstanceID, ref uint64, call peer.Call) {
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
	i.send(from, peer.KindReply, ref, peer.NewReply(body, err))
}

// maxServedCall bounds a call of another instance, which stops waiting
// earlier.
const maxServedCall = 3 * time.Second

// serveJobCall carries out a call for the leader, if this instance leads.
func (i *Instance) serveJobCall(method string, in jobCall) jobReply {
	local, _, _ := i.current()
	if local == nil {
		return jobReply{NotLeader: true}
	}
	return local.jobCall(method, in, maxServedCall)
}

func (i *Instance) advise(in adviseCall) adviseReply {
	started := time.Now()
	advice, err := i.options.Advisor.Advise(in.Step, in.Workers, in.Timeout)
	if err != nil {
		i.log.Warn("advice failed", "step", in.Step, "workers", len(in.Workers), "after", time.Since(started).String(), "error", err)
		return adviseReply{Failed: true}
	}
	return adviseReply{Advice: advice}
}
