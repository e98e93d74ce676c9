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
	calls      path
	feeds      path // apart: a feed that hears nothing says little about calls
	lastHelper structs.InstanceID
	resting    map[structs.InstanceID]time.Time // helpers that failed, until when
}

// path is what is known of the ways to the store for one kind of calls.
type path struct {
	directFrom time.Time // no direct call before this time
	assistFrom time.Time // no assisted call before this time
	turnedAway bool
}

const (
	// directPause is how long direct calls rest after one failed while a peer
	// reached the store.
	directPause = time.Second
	// assistPause is how long assisted calls rest after one failed: the store
	// is probably away for all.
	assistPause = 600 * time.Millisecond
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
	p := &s.calls
	if c.Follow != nil {
		p = &s.feeds
	}
	useDirect, useAssist := s.ways(p)
	if _, ok := s.helper(); !ok {
		useDirect, useAssist = true, false
	}
	var page tablestore.Page
	err := errs.New(errs.NotRun, "try again later", "the store has turned this instance away")
	if useDirect {
		page, err = callStore(s.direct, c)
		if isAnswer(err) {
			s.directWorks(p)
			return page, err
		}
	}
	if useDirect && errs.Is(err, errs.OutcomeUnknown) {
		s.directUnanswered(p) // the next call goes by way of a peer
		return page, err
	}
	if !useAssist {
		return page, err
	}
	helped, helpErr, asked := s.assisted(p, c)
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
func (s *assistedStore) assisted(p *path, c storeCall) (page tablestore.Page, err error, asked bool) {
	for range maxHelpers {
		helper, ok := s.helper()
		if !ok {
			break
		}
		asked = true
		page, err = s.assist(helper, c)
		if isAnswer(err) {
			s.assistWorks(p, helper)
			return page, err, true
		}
		s.helperRests(helper)
		if errs.Is(err, errs.OutcomeUnknown) {
			return page, err, true
		}
	}
	s.assistRests(p)
	return page, err, asked
}

// isAnswer reports whether the store itself has answered.
func isAnswer(err error) bool {
	return err == nil || errs.Is(err, errs.Conflict) || errs.Is(err, errs.NotFound) || errs.Is(err, errs.InvalidInput)
}

func (s *assistedStore) ways(p *path) (direct, assist bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	assist = !now.Before(p.assistFrom)
	return !assist || !now.Before(p.directFrom), assist
}

func (s *assistedStore) directWorks(p *path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.turnedAway {
		p.turnedAway = false
		s.instance.log.Info("dependency", "name", "store", "healthy", true, "way", "direct")
	}
}

// directUnanswered makes the next call an assisted one. Waiting for a second
// answer within one call would double the time in which the store's return
// goes unnoticed.
func (s *assistedStore) directUnanswered(p *path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.directFrom = time.Now().Add(directPause)
}

func (s *assistedStore) assistWorks(p *path, helper structs.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.directFrom = time.Now().Add(directPause)
	s.lastHelper = helper
	if !p.turnedAway {
		p.turnedAway = true
		s.instance.log.Info("dependency", "name", "store", "healthy", false, "way", "assisted", "by", helper)
	}
}

func (s *assistedStore) assistRests(p *path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.assistFrom = time.Now().Add(assistPause)
	p.directFrom = time.Time{}
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
// another that has not failed lately.
func (s *assistedStore) helper() (structs.InstanceID, bool) {
	candidates := s.instance.helpers()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var found structs.InstanceID
	for _, id := range candidates {
		if now.Before(s.resting[id]) {
			continue
		}
		if found == "" || id == s.lastHelper {
			found = id
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
func (i *Instance) helpers() []structs.InstanceID {
	local, _, _ := i.current()
	if local == nil {
		return nil
	}
	return local.connected()[1:]
}
