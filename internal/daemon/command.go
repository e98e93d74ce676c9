package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/instance"
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
func New(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "mangodrumd",
		Usage:     "run an instance of the mangodrum cluster scheduler",
		Version:   instance.BuildVersion(),
		Writer:    out,
		ErrWriter: errOut,
		Commands:  []*cli.Command{devCommand(), runCommand(), serveCommand(), standinCommand()},
		// Main reports the error and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errs.Wrap(err, errs.InvalidInput, "see mangodrumd --help", "command line")
		},
	}
}

// Main runs the command line and returns the exit code. The first SIGINT or
// SIGTERM starts a drain, a second one exits at once.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	finished := make(chan struct{})
	defer close(finished)
	go exitOnSecondSignal(ctx, finished, errOut)
	err := New(out, errOut).Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintln(errOut, "mangodrumd:", err)
	if errs.Is(err, errs.InvalidInput) {
		return ExitUsage
	}
	return ExitFailed
}

// exitOnSecondSignal waits until the first signal has ended ctx and exits the
// process on the next one. It returns when finished is closed.
func exitOnSecondSignal(ctx context.Context, finished chan struct{}, errOut io.Writer) {
	select {
	case <-finished:
		return
	case <-ctx.Done():
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-finished:
	case <-signals:
		_, _ = fmt.Fprintln(errOut, "mangodrumd: second signal: exited without waiting for running requests and shard hand-overs; "+
			"remedy: look up the outcome of non-idempotent requests by their request IDs")
		os.Exit(ExitFailed)
	}
}

// limitMemory sets the soft memory limit of the Go runtime, in bytes.
func limitMemory(limit int64) { debug.SetMemoryLimit(limit) }
