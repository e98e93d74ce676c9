package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/config"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
)

// client returns a client for the address in --server. The caller closes it.
func (a *app) client(c *cli.Command) (*operatorapi.Client, error) {
	if err := checkAddress("--server", c.String("server")); err != nil {
		return nil, err
	}
	secret := ""
	if file := c.String("secret-file"); file != "" {
		var err error
		if secret, err = config.ReadSecret(file); err != nil {
			return nil, err
		}
	}
	return operatorapi.NewClient(c.String("server"), secret), nil
}

func checkAddress(flag, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return errs.New(errs.InvalidInput, "use an address such as 127.0.0.1:7071", "%s: %q is not IP:port", flag, address)
	}
	return nil
}

// call runs one API call with a new client and ends it after --timeout.
func call[T any](ctx context.Context, a *app, c *cli.Command, run func(context.Context, *operatorapi.Client) (T, error)) (T, error) {
	var zero T
	client, err := a.client(c)
	if err != nil {
		return zero, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	return run(ctx, client)
}

// readInput reads a file, or standard input for "-".
func (a *app) readInput(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(a.In)
		if err != nil {
			return nil, errs.Wrap(err, errs.InvalidInput, "repeat the input", "read the standard input")
		}
		return data, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidInput, "give the path of a readable file", "read the input")
	}
	return data, nil
}

// watchFlags returns the flags of commands that accept --watch.
func watchFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "watch", Aliases: []string{"w"}, Usage: "repeat until interrupted"},
		&cli.DurationFlag{Name: "interval", Value: 2 * time.Second, Usage: "`TIME` between repeats of --watch"},
	}
}

// watch runs show once or, with --watch, repeats it until the context ends.
// With --watch an error is printed and show is run again, except for invalid
// input, which ends watch.
func (a *app) watch(ctx context.Context, c *cli.Command, show func(context.Context) error) error {
	if err := noArgs(c); err != nil {
		return err
	}
	if !c.Bool("watch") {
		return show(ctx)
	}
	ticker := time.NewTicker(max(c.Duration("interval"), 100*time.Millisecond))
	defer ticker.Stop()
	for {
		if c.String("output") == outputTable {
			fmt.Fprintf(a.Out, "--- %s\n", time.Now().Format(time.TimeOnly))
		}
		if err := show(ctx); err != nil {
			if exitCode(err) == ExitBadInput {
				return err
			}
			printError(a.Err, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
