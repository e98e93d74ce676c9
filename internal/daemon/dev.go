package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/examples"
	"github.com/mangodrum/mangodrum/instance"
	"github.com/mangodrum/mangodrum/internal/signals"
	"github.com/mangodrum/mangodrum/provider/httpapi"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/telemetry"
)

const (
	defaultPortBase = 7070
	portStep        = 10
	// maxPortAttempts bounds the search for free ports of each instance after
	// the first.
	maxPortAttempts   = 50
	readyTimeout      = 30 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

func exampleFlag() *cli.StringFlag {
	return &cli.StringFlag{Name: "example", Usage: "`NAME` of the cell: bureau or sierra-alta", Value: "bureau"}
}

func devCommand(received *signals.Received) *cli.Command {
	return &cli.Command{
		Name:      "dev",
		Usage:     "run three instances, a stand-in platform, workers and executors in one process",
		UsageText: "mangodrumd dev --example sierra-alta --port-base 8070",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.IntFlag{Name: "port-base", Usage: "first port `N` of the first instance", Value: defaultPortBase},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "warn"},
			&cli.BoolFlag{Name: "log-json", Usage: "write log lines as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := untilHangup(ctx, received)
			defer cancel()
			return runDev(ctx, devOptions{
				example: c.String("example"), portBase: c.Int("port-base"),
				logLevel: c.String("log-level"), logJSON: c.Bool("log-json"),
				out: c.Root().Writer, logOut: c.Root().ErrWriter,
			})
		},
	}
}

type devOptions struct {
	example  string
	portBase int
	logLevel string
	logJSON  bool
	out      io.Writer
	logOut   io.Writer
}

// startPlatform starts the stand-in with the example's workers and executors
// and stores the example's settings as version 1.
func startPlatform(ctx context.Context, example, address string) (*standin.Platform, error) {
	workers, executors, _, err := examples.Cell(example)
	if err != nil {
		return nil, err
	}
	tree, err := examples.Settings(example)
	if err != nil {
		return nil, err
	}
	p, err := standin.Start(address, workers, executors)
	if err != nil {
		return nil, err
	}
	store := settings.NewStore(p.Store, p.Store.Objects(), now, nil)
	_, err = store.Commit(ctx, settings.Commit{
		Author: "mangodrumd", Reason: "first settings of the example", ChangeID: "example-" + example, Tree: tree,
	})
	if err != nil {
		return nil, errors.CombineErrors(err, p.Close())
	}
	return p, nil
}

func now() structs.Timestamp { return structs.TimestampOf(time.Now()) }

// runDev runs a development cell until ctx ends.
func runDev(ctx context.Context, options devOptions) error {
	started := time.Now()
	_, _, infos, err := examples.Cell(options.example)
	if err != nil {
		return err
	}
	if options.portBase < 1 || options.portBase > 65000 {
		return errs.New(errs.InvalidInput, "use a port from 1 to 65000", "--port-base %d is out of range", options.portBase)
	}
	log, err := telemetry.NewLogger(options.logOut, "mangodrumd", options.logLevel, options.logJSON)
	if err != nil {
		return err
	}
	listeners, err := devListeners(infos, options.portBase)
	if err != nil {
		return err
	}
	p, err := startPlatform(ctx, options.example, "127.0.0.1:0")
	if err != nil {
		return err
	}
	cell := &devCell{}
	for n, info := range infos {
		client := httpapi.New(p.Address, platformTimeout)
		cell.start(instance.New(instance.Options{
			Info: info, Table: client, Objects: client.Objects(), Directory: client, Workers: client,
			CallerListener: listeners[n][0], OperatorListener: listeners[n][1], PeerListener: listeners[n][2],
			Logger: log.Named(string(info.ID)),
		}))
	}
	failure := cell.waitReady(ctx)
	if failure == nil && ctx.Err() == nil {
		printReady(options.out, options.example, infos, p.Address, time.Since(started))
		<-ctx.Done()
	}
	return errors.CombineErrors(failure, errors.CombineErrors(cell.stop(), p.Close()))
}

func printReady(out io.Writer, example string, infos []structs.InstanceInfo, platform string, took time.Duration) {
	var callers, operators []string
	for _, info := range infos {
		callers = append(callers, info.CallerAddress)
		operators = append(operators, info.OperatorAddress)
	}
	_, _ = fmt.Fprintf(out, "ready example=%s callers=%s operators=%s platform=%s after=%dms\n",
		example, strings.Join(callers, ","), strings.Join(operators, ","), platform, took.Milliseconds())
}

// devListeners opens the listeners of all instances and writes their
// addresses into infos. The first instance uses exactly the ports from base on;
// each later one uses the next free ports in steps of portStep.
func devListeners(infos []structs.InstanceInfo, base int) ([][3]net.Listener, error) {
	var all [][3]net.Listener
	port := base
	for n := range infos {
		listeners, err := listenAt(&infos[n], port)
		for attempt := 1; err != nil && n > 0 && attempt < maxPortAttempts; attempt++ {
			port += portStep
			listeners, err = listenAt(&infos[n], port)
		}
		if err != nil {
			closeAll(all)
			return nil, err
		}
		all = append(all, listeners)
		port += portStep
	}
	return all, nil
}

// listenAt opens the listeners of an instance on three ports from port on and
// writes the addresses into info.
func listenAt(info *structs.InstanceInfo, port int) ([3]net.Listener, error) {
	info.CallerAddress = fmt.Sprintf("127.0.0.1:%d", port)
	info.OperatorAddress = fmt.Sprintf("127.0.0.1:%d", port+1)
	info.PeerAddress = fmt.Sprintf("127.0.0.1:%d", port+2)
	return listenInstance(*info)
}

func closeAll(all [][3]net.Listener) {
	for _, listeners := range all {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}
}

// devCell is the set of instances of a development cell.
type devCell struct {
	instances []*devInstance
	group     conc.WaitGroup
}

// devInstance is a running instance and the result of its Run.
type devInstance struct {
	instance *instance.Instance
	cancel   context.CancelFunc
	done     chan error
}

func (c *devCell) start(i *instance.Instance) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &devInstance{instance: i, cancel: cancel, done: make(chan error, 1)}
	c.instances = append(c.instances, d)
	c.group.Go(func() { d.done <- i.Run(ctx) })
}

// waitReady waits until every instance serves and knows all others, so that
// each of them can forward a call to the owner of its shard. It returns nil if
// ctx ends first, and an error with the cause if an instance exits or the cell
// is not ready within readyTimeout.
func (c *devCell) waitReady(ctx context.Context) error {
	timeout := time.After(readyTimeout)
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		notReady := c.checkReady()
		if notReady == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		case <-timeout:
			return errs.Wrap(notReady, errs.Failed,
				"start it again when the machine is less busy, or with --log-level info to see why",
				"the cell was not ready after %s", readyTimeout)
		}
		for _, d := range c.instances {
			if err, ended := d.ended(); ended {
				return errs.Wrap(err, errs.Failed, "correct the cause and start the cell again",
					"instance %s ended before the cell was ready", d.instance.ID())
			}
		}
	}
}

// checkReady returns the first reason why the cell is not ready, or nil.
func (c *devCell) checkReady() error {
	for _, d := range c.instances {
		if err := d.instance.CheckServing(); err != nil {
			return err
		}
		if n := d.instance.PeerCount(); n != len(c.instances)-1 {
			return errs.New(errs.NotRun, "", "instance %s knows %d of %d other instances", d.instance.ID(), n, len(c.instances)-1)
		}
	}
	return nil
}

// ended reports whether the instance has exited, and with which error.
func (d *devInstance) ended() (error, bool) {
	select {
	case err := <-d.done:
		d.done <- err // keep the result for stop
		if err == nil {
			err = errs.New(errs.Failed, "", "an operator asked for a drain")
		}
		return err, true
	default:
		return nil, false
	}
}

// stop drains the instances one after another, as in a rolling shutdown.
func (c *devCell) stop() error {
	var err error
	for _, d := range c.instances {
		d.cancel()
		err = errors.CombineErrors(err, <-d.done)
	}
	c.group.Wait()
	return err
}
