// Command mangodrum is the command line for operators of a mangodrum cell.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mangodrum/mangodrum/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(cli.Run(ctx, os.Args, streams))
}
