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

// Exit codes.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// platformTimeout bounds a call to the platform's table.
const platformTimeout = 5 * time.Second

// New returns the command line of mangodrumd. It writes to out and errOut.
func New(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "mangodrumd",
		Usage:     "run an instance of the mangodrum cluster scheduler",
		Version:   instance.BuildVersion(),
		Writer:    out,
		ErrWriter: errOut,
		Commands:  []*cli.Command{devCommand(), runCommand(), serveCommand(), standinCommand()},
		// The exit code is decided in Main.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errs.Wrap(err, errs.InvalidInput, "see mangodrumd --help", "command line")
		},
	}
}

// Main runs the command line and returns the exit code. The first SIGINT or
// SIGTERM starts a drain, a second one ends the process at once.
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
		_, _ = fmt.Fprintln(errOut, "mangodrumd: second signal: requests and hand-overs that still ran were cut; "+
			"remedy: check requests that are not idempotent by their identifiers")
		os.Exit(ExitFailed)
	}
}

// limitMemory makes the garbage collector keep the process below limit bytes.
func limitMemory(limit int64) { debug.SetMemoryLimit(limit) }
