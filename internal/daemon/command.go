package daemon

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/instance"
	"github.com/mangodrum/mangodrum/internal/signals"
)

// Exit codes of mangodrumd.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// platformTimeout bounds each call to the platform's API.
const platformTimeout = 5 * time.Second

// New returns the root command of mangodrumd, which writes to out and errOut.
func New(received *signals.Received, out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "mangodrumd",
		Usage:     "run an instance of the mangodrum cluster scheduler",
		Version:   instance.BuildVersion(),
		Writer:    out,
		ErrWriter: errOut,
		Commands:  []*cli.Command{devCommand(received), runCommand(received), serveCommand(received), standinCommand(received)},
		// Main reports the error and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errs.Wrap(err, errs.InvalidInput, "see mangodrumd --help", "command line")
		},
	}
}

// Main runs the command line and returns the exit code. The first SIGINT or
// SIGTERM starts a drain, which a SIGINT after it ends at once. SIGHUP ends no instance.
func Main(args []string, out, errOut io.Writer) int {
	received := signals.Receive()
	finished := make(chan struct{})
	defer close(finished)
	go exitOnInterrupt(received, finished, errOut)
	err := New(received, out, errOut).Run(received.Stop, args)
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintln(errOut, "mangodrumd:", err)
	if errs.Is(err, errs.InvalidInput) {
		return ExitUsage
	}
	return ExitFailed
}

// exitOnInterrupt exits the process on a SIGINT after the signal that started the drain.
// It returns when finished is closed.
func exitOnInterrupt(received *signals.Received, finished chan struct{}, errOut io.Writer) {
	select {
	case <-finished:
	case <-received.Interrupted:
		_, _ = fmt.Fprintln(errOut, "mangodrumd: SIGINT during the drain: exited without waiting for running requests and shard hand-overs; "+
			"remedy: look up the outcome of non-idempotent requests by their request IDs")
		os.Exit(ExitFailed)
	}
}

// untilHangup returns a context that ends with ctx or with a SIGHUP, which a program in a
// terminal gets when the terminal is closed.
func untilHangup(ctx context.Context, received *signals.Received) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-received.Hangups:
		}
	}()
	return ctx, cancel
}

// limitMemory sets the soft memory limit of the Go runtime, in bytes.
func limitMemory(limit int64) { debug.SetMemoryLimit(limit) }

// descriptorLimit returns the number of descriptors that the process may open: the one that is
// configured, unless the system allows fewer. 0 means that none is known.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return configured
	}
	if configured <= 0 {
		return int(limit.Cur)
	}
	return min(configured, int(limit.Cur))
}
