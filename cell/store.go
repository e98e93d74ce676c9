package cell

import (
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// relayingStore calls the store. If the store refuses or does not answer the
// leader, relayingStore asks a follower to make the call. Every call of the cell
// may be repeated: reads change nothing, and writes are conditional or
// idempotent.
type relayingStore struct {
	instance *Instance
	direct   tablestore.Store

	mu           sync.Mutex
	callPath     storePath
	feedPath     storePath                        // separate, because a silent feed says little about calls
	lastRelay    structs.InstanceID               // the peer that last relayed a call
	relayRetryAt map[structs.InstanceID]time.Time // earliest time to ask a peer that failed
}

const (
	// peerRetryDelay is how long a peer is not asked again after it failed. The
	// store refuses an instance for seconds at a time.
	peerRetryDelay = 2 * time.Second
	// maxRelayPeers limits the peers that are asked for one call.
	maxRelayPeers = 4
	// relayMargin covers the round trip to the peer.
	relayMargin = 150 * time.Millisecond
)

var _ tablestore.Store = (*relayingStore)(nil)

// Commit implements tablestore.Store.
func (s *relayingStore) Commit(tx tablestore.Tx, timeout time.Duration) (tablestore.Page, error) {
	return s.call(storeCall{Tx: &tx, Timeout: timeout})
}

// Scan implements tablestore.Store.
func (s *relayingStore) Scan(q tablestore.Range, timeout time.Duration) (tablestore.Page, error) {
	return s.call(storeCall{Scan: &q, Timeout: timeout})
}

// Follow implements tablestore.Store.
func (s *relayingStore) Follow(table string, after uint64, wait, timeout time.Duration) (tablestore.Page, error) {
	return s.call(storeCall{Follow: &followCall{table, after, wait}, Timeout: timeout})
}

// call makes a direct call, a relayed call, or a direct call followed by a
// relayed one.
func (s *relayingStore) call(c storeCall) (tablestore.Page, error) {
	path := &s.callPath
	if c.Follow != nil {
		path = &s.feedPath
	}
	useDirect, useRelay := s.choosePath(path)
	if _, ok := s.selectRelay(); !ok {
		useDirect, useRelay = true, false
	}
	var page tablestore.Page
	err := errs.New(errs.NotRun, "try again later", "the store does not answer this instance")
	if useDirect {
		page, err = callStore(s.direct, c)
		if isAnswer(err) {
			s.directAnswered(path)
			return page, err
		}
	}
	if useDirect && errs.Is(err, errs.OutcomeUnknown) {
		s.directUnanswered(path) // the next call is relayed
		return page, err
	}
	if !useRelay {
		return page, err
	}
	relayedPage, relayErr, attempted := s.relay(path, c)
	if !attempted {
		return page, err
	}
	if isAnswer(relayErr) || errs.Is(relayErr, errs.OutcomeUnknown) {
		return relayedPage, relayErr
	}
	return page, err
}

// relay asks peers in turn until the store answers one of them or a call may
// have been executed. attempted is false if no peer could be asked.
func (s *relayingStore) relay(path *storePath, c storeCall) (page tablestore.Page, err error, attempted bool) {
	returnsAtStart := s.directReturns(path)
	for range maxRelayPeers {
		peerID, ok := s.selectRelay()
		if !ok {
			break
		}
		attempted = true
		page, err = s.callThrough(peerID, c)
		if isAnswer(err) {
			s.relayAnswered(path, peerID, returnsAtStart)
			return page, err, true
		}
		s.recordRelayFailure(peerID)
		if errs.Is(err, errs.OutcomeUnknown) {
			return page, err, true
		}
	}
	s.relayFailed(path)
	return page, err, attempted
}

// isAnswer reports whether err, which may be nil, comes from the store itself.
func isAnswer(err error) bool {
	return err == nil || errs.Is(err, errs.Conflict) || errs.Is(err, errs.NotFound) || errs.Is(err, errs.InvalidInput)
}

func (s *relayingStore) choosePath(path *storePath) (direct, relay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return path.choose(time.Now())
}

func (s *relayingStore) directAnswered(path *storePath) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path.directAnswered() {
		s.logDirectPath(path)
	}
}

func (s *relayingStore) logDirectPath(path *storePath) {
	s.instance.log.Info("dependency", "name", "store", "healthy", true, "way", "direct", "use", path.purpose)
}

func (s *relayingStore) directUnanswered(path *storePath) {
	s.mu.Lock()
	defer s.mu.Unlock()
	path.directUnanswered(time.Now())
}

func (s *relayingStore) directReturns(path *storePath) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return path.directReturns
}

func (s *relayingStore) relayAnswered(path *storePath, peerID structs.InstanceID, returnsAtStart int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRelay = peerID
	if path.relayAnswered(returnsAtStart) {
		s.instance.log.Info("dependency", "name", "store", "healthy", false, "way", "assisted", "use", path.purpose, "by", peerID)
		s.instance.spawn("probe the store", func() { s.probeDirect(path) })
	}
}

// probeDirect keeps reading the leadership row directly until calls are direct
// again.
func (s *relayingStore) probeDirect(path *storePath) {
	for s.isRelayed(path) {
		sleep(s.instance.ctx, probeInterval)
		if s.instance.ctx.Err() != nil {
			return
		}
		_, err := s.direct.Scan(leadershipRowRange(), probeTimeout)
		s.mu.Lock()
		if path.recordProbe(isAnswer(err)) {
			s.logDirectPath(path)
		}
		s.mu.Unlock()
	}
}

func (s *relayingStore) isRelayed(path *storePath) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return path.relayed
}

func (s *relayingStore) relayFailed(path *storePath) {
	s.mu.Lock()
	defer s.mu.Unlock()
	path.relayFailed(time.Now())
}

// callThrough asks a peer to make the store call.
func (s *relayingStore) callThrough(peerID structs.InstanceID, c storeCall) (tablestore.Page, error) {
	var reply storeReply
	if err := s.instance.call(peerID, methodStore, c, &reply, c.Timeout+relayMargin); err != nil {
		return tablestore.Page{}, err
	}
	if reply.Kind != "" {
		return reply.Page, errs.New(reply.Kind, "", "%s, relayed by %s", reply.Message, peerID)
	}
	return reply.Page, nil
}

// callStore makes the call that c describes.
func callStore(store tablestore.Store, c storeCall) (tablestore.Page, error) {
	switch {
	case c.Tx != nil:
		return store.Commit(*c.Tx, c.Timeout)
	case c.Scan != nil:
		return store.Scan(*c.Scan, c.Timeout)
	case c.Follow != nil:
		return store.Follow(c.Follow.Table, c.Follow.After, c.Follow.Wait, c.Timeout)
	}
	return tablestore.Page{}, errs.New(errs.InvalidInput, "run the same version on all instances", "a store call from a peer has no operation")
}

// serveStore makes a direct store call for a peer.
func (i *Instance) serveStore(c storeCall) storeReply {
	page, err := callStore(i.options.Store, c)
	if err == nil {
		return storeReply{Page: page}
	}
	return storeReply{Page: page, Kind: errs.KindOf(err), Message: errs.DetailOf(err)}
}

// selectRelay returns the peer to relay a call: the last one that succeeded, or
// the one with the largest processor share. It skips peers that failed recently.
func (s *relayingStore) selectRelay() (structs.InstanceID, bool) {
	candidates := s.instance.relayCandidates()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var found structs.InstanceID
	for _, candidate := range candidates {
		if now.Before(s.relayRetryAt[candidate.id]) {
			continue
		}
		if found == "" || candidate.id == s.lastRelay {
			found = candidate.id
		}
	}
	return found, found != ""
}

func (s *relayingStore) recordRelayFailure(id structs.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayRetryAt[id] = time.Now().Add(peerRetryDelay)
}

// relayCandidates returns the peers that can relay this instance's calls: the
// followers if it leads, otherwise none. A follower needs the store only for the
// configuration, which the leader sends it as well, and the calls of many
// followers would use up the leader's connections to the store.
func (i *Instance) relayCandidates() []followerInfo {
	local, _, _ := i.currentLeader()
	if local == nil {
		return nil
	}
	return sortByProcessorShare(local.followers())
}
