package standin

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Platform is a complete simulated platform on loopback: store, directory,
// workers, executors and the server that instances call.
type Platform struct {
	Store     *Store
	Directory *Directory
	Pool      *Pool
	Executors []*ExecutorServer
	Address   string // address of the platform's API (host:port)

	faults   faultPlan
	server   *Server
	listener net.Listener
	group    conc.WaitGroup
}

// Start starts a platform with the given workers and executors. The executors
// listen on free loopback ports; the API listens on address.
func Start(address string, workers []structs.Worker, executors []structs.Executor) (*Platform, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Failed, "choose a free port with --port-base or --listen", "listen on %s", address)
	}
	p := &Platform{Store: NewStore(), Address: listener.Addr().String(), listener: listener}
	running := make([]structs.Executor, 0, len(executors))
	for _, info := range executors {
		e, err := StartExecutor(info)
		if err != nil {
			return nil, errors.CombineErrors(errs.Wrap(err, errs.Failed, "", "start executor %s", info.ID), p.Close())
		}
		p.Executors = append(p.Executors, e)
		running = append(running, e.Info)
	}
	p.Store.Fault = p.faults.next
	p.Directory = NewDirectory(workers, running)
	p.Pool = NewPool(now, workers)
	p.server = NewServer(p.Store, p.Store.Objects(), p.Directory, p.Pool)
	p.server.control = p.control
	p.group.Go(func() { _ = p.server.Serve(listener) })
	return p, nil
}

func now() structs.Timestamp { return structs.TimestampOf(time.Now()) }

// Close stops the platform after the calls that are in progress.
func (p *Platform) Close() error {
	var err error
	for _, e := range p.Executors {
		err = errors.CombineErrors(err, e.Close())
	}
	if p.server == nil {
		return errors.CombineErrors(err, p.listener.Close())
	}
	err = errors.CombineErrors(err, p.server.Close())
	p.group.Wait()
	return err
}
