package cell

import (
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// assistedStore calls the store, and where the store turns a leader away asks
// a follower to make the call. Every call of the cell may be repeated: reads
// change nothing, and writes are conditional or have the same effect twice.
type assistedStore struct {
	instance *Instance
	direct   tablestore.Store

	mu         sync.Mutex
	calls      way
	feeds      way // apart: a feed that hears nothing says little about calls
	lastHelper structs.InstanceID
	resting    map[structs.InstanceID]time.Time // helpers that failed, until when
}

const (
	// helperPause is how long a helper rests after it failed; the store turns
	// instances away for seconds.
	helperPause = 2 * time.Second
	// maxHelpers is how many peers one call may try.
	maxHelpers = 4
	// assistMargin covers the way to the peer and back.
	assistMargin = 150 * time.Millisecond
)

var _ tablestore.Store = (*assistedStore)(nil)

// Commit implements tablestore.Store.
func (s *assistedStore) Commit(tx tablestore.Tx, timeout time.Duration) (tablestore.Page, error) {
	return s.call(storeCall{Tx: &tx, Limit: timeout})
}

// Scan implements tablestore.Store.
func (s *assistedStore) Scan(q tablestore.Range, timeout time.Duration) (tablestore.Page, error) {
	return s.call(storeCall{Scan: &q, Limit: timeout})
}

// Follow implements tablestore.Store.
func (s *assistedStore) Follow(table string, after uint64, wait, timeout time.Duration) (tablestore.Page, error) {
	return s.call(storeCall{Follow: &followCall{table, after, wait}, Limit: timeout})
}

// call makes a direct call, an assisted one, or the second after the first.
func (s *assistedStore) call(c storeCall) (tablestore.Page, error) {
	w := &s.calls
	if c.Follow != nil {
		w = &s.feeds
	}
	useDirect, useAssist := s.ways(w)
	if _, ok := s.helper(); !ok {
		useDirect, useAssist = true, false
	}
	var page tablestore.Page
	err := errs.New(errs.NotRun, "try again later", "the store has turned this instance away")
	if useDirect {
		page, err = callStore(s.direct, c)
		if isAnswer(err) {
			s.directWorks(w)
			return page, err
		}
	}
	if useDirect && errs.Is(err, errs.OutcomeUnknown) {
		s.directUnanswered(w) // the next call goes by way of a peer
		return page, err
	}
	if !useAssist {
		return page, err
	}
	helped, helpErr, asked := s.assisted(w, c)
	if !asked {
		return page, err
	}
	if isAnswer(helpErr) || errs.Is(helpErr, errs.OutcomeUnknown) {
		return helped, helpErr
	}
	return page, err
}

// assisted tries peers until the store answers one of them or a call may have
// been carried out.
func (s *assistedStore) assisted(w *way, c storeCall) (page tablestore.Page, err error, asked bool) {
	turns := s.turns(w)
	for range maxHelpers {
		helper, ok := s.helper()
		if !ok {
			break
		}
		asked = true
		page, err = s.assist(helper, c)
		if isAnswer(err) {
			s.assistWorks(w, helper, turns)
			return page, err, true
		}
		s.helperRests(helper)
		if errs.Is(err, errs.OutcomeUnknown) {
			return page, err, true
		}
	}
	s.assistRests(w)
	return page, err, asked
}

// isAnswer reports whether the store itself has answered.
func isAnswer(err error) bool {
	return err == nil || errs.Is(err, errs.Conflict) || errs.Is(err, errs.NotFound) || errs.Is(err, errs.InvalidInput)
}

func (s *assistedStore) ways(w *way) (direct, assist bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.choose(time.Now())
}

func (s *assistedStore) directWorks(w *way) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.directAnswered() {
		s.logDirect(w)
	}
}

func (s *assistedStore) logDirect(w *way) {
	s.instance.log.Info("dependency", "name", "store", "healthy", true, "way", "direct", "use", w.use)
}

func (s *assistedStore) directUnanswered(w *way) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.directUnanswered(time.Now())
}

func (s *assistedStore) turns(w *way) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.turns
}

func (s *assistedStore) assistWorks(w *way, helper structs.InstanceID, turns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHelper = helper
	if w.assistAnswered(turns) {
		s.instance.log.Info("dependency", "name", "store", "healthy", false, "way", "assisted", "use", w.use, "by", helper)
		s.instance.group.Go(func() { s.probeDirect(w) })
	}
}

// probeDirect reads the leadership row directly until calls are direct again.
func (s *assistedStore) probeDirect(w *way) {
	for s.isAssisted(w) {
		sleep(s.instance.ctx, probeEvery)
		if s.instance.ctx.Err() != nil {
			return
		}
		_, err := s.direct.Scan(leaderRow(), probeTimeout)
		s.mu.Lock()
		if w.probed(isAnswer(err)) {
			s.logDirect(w)
		}
		s.mu.Unlock()
	}
}

func (s *assistedStore) isAssisted(w *way) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.assisted
}

func (s *assistedStore) assistRests(w *way) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.assistFailed(time.Now())
}

func (s *assistedStore) assist(helper structs.InstanceID, c storeCall) (tablestore.Page, error) {
	var reply storeReply
	if err := s.instance.call(helper, methodStore, c, &reply, c.Limit+assistMargin); err != nil {
		return tablestore.Page{}, err
	}
	if reply.Kind != "" {
		return reply.Page, errs.New(reply.Kind, "", "%s, by way of %s", reply.Message, helper)
	}
	return reply.Page, nil
}

// callStore makes the call that c describes.
func callStore(store tablestore.Store, c storeCall) (tablestore.Page, error) {
	switch {
	case c.Tx != nil:
		return store.Commit(*c.Tx, c.Limit)
	case c.Scan != nil:
		return store.Scan(*c.Scan, c.Limit)
	case c.Follow != nil:
		return store.Follow(c.Follow.Table, c.Follow.After, c.Follow.Wait, c.Limit)
	}
	return tablestore.Page{}, errs.New(errs.InvalidInput, "run the same version on all instances", "a peer's store call is empty")
}

// serveStore makes a store call for a peer, directly.
func (i *Instance) serveStore(c storeCall) storeReply {
	page, err := callStore(i.options.Store, c)
	if err == nil {
		return storeReply{Page: page}
	}
	return storeReply{Page: page, Kind: errs.KindOf(err), Message: errs.DetailOf(err)}
}

// helper returns a peer that may reach the store: the one that did last, or
// the strongest that has not failed lately.
func (s *assistedStore) helper() (structs.InstanceID, bool) {
	candidates := s.instance.helpers()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var found structs.InstanceID
	for _, h := range candidates {
		if now.Before(s.resting[h.id]) {
			continue
		}
		if found == "" || h.id == s.lastHelper {
			found = h.id
		}
	}
	return found, found != ""
}

func (s *assistedStore) helperRests(id structs.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting[id] = time.Now().Add(helperPause)
}

// helpers returns the followers that a leader can ask. A follower asks nobody:
// it needs the store for the configuration only, which the leader sends it,
// and the calls of many followers would take the leader's own connections.
func (i *Instance) helpers() []helper {
	local, _, _ := i.current()
	if local == nil {
		return nil
	}
	return byStrength(local.followers())
}
