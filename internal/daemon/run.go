package daemon

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
	"github.com/mangodrum/mangodrum/gateway"
	"github.com/mangodrum/mangodrum/instance"
	"github.com/mangodrum/mangodrum/internal/signals"
	"github.com/mangodrum/mangodrum/provider/httpapi"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/telemetry"
)

func runCommand(received *signals.Received) *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run one instance",
		UsageText: "mangodrumd run --config instance.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "instance `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := config.LoadInstance(c.String("config"))
			if err != nil {
				return err
			}
			return runInstance(ctx, cfg, received.Hangups, c.Root().ErrWriter)
		},
	}
}

// runMemoryFraction is the part of the instance's memory that is set as the memory limit of
// the Go runtime. The rest is for the program itself and for what the collector has not
// returned to the system yet.
const runMemoryFraction = 0.75

// runInstance runs an instance until ctx ends. It logs to logOut.
func runInstance(ctx context.Context, cfg *config.Instance, hangups <-chan os.Signal, logOut io.Writer) error {
	limitMemory(int64(runMemoryFraction * float64(cfg.Limits.Memory)))
	log, err := telemetry.NewLogger(logOut, string(cfg.ID), cfg.Log.Level, cfg.Log.Format == "json")
	if err != nil {
		return err
	}
	listeners, err := listenInstance(cfg.Info())
	if err != nil {
		return err
	}
	go logHangups(ctx, hangups, log)
	limits := gatewayLimits(cfg.Limits)
	bounds := instance.WithinProcess(&limits, int64(cfg.Limits.Memory), descriptorLimit(0))
	client := httpapi.New(cfg.PlatformAddress, platformTimeout)
	return instance.New(instance.Options{
		Info: cfg.Info(), PeerSecret: cfg.Secrets.Peers, OperatorSecret: cfg.Secrets.Operators,
		Table: client, Objects: client.Objects(), Directory: client, Workers: client,
		CallerListener: listeners[0], OperatorListener: listeners[1], PeerListener: listeners[2],
		Limits: limits, Bounds: bounds, Logger: log,
	}).Run(ctx)
}

// logHangups logs each SIGHUP until ctx ends.
func logHangups(ctx context.Context, hangups <-chan os.Signal, log settingsLogger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("hangup: a changed instance file takes effect at the next start")
		}
	}
}

// gatewayLimits converts the limits of the instance file for the gateway.
func gatewayLimits(limits config.Limits) gateway.Limits {
	return gateway.Limits{
		MaxBodyBytes: int64(limits.MaxBody), MaxHeaderBytes: int(limits.MaxHeader), MaxConnections: limits.MaxConnections,
		ReadTimeout: time.Duration(limits.ReadTimeout), WriteTimeout: time.Duration(limits.WriteTimeout), IdleTimeout: time.Duration(limits.IdleTimeout),
	}
}

// listenInstance opens the listeners of an instance for callers, operators and
// peers. After an error none of them is open.
func listenInstance(info structs.InstanceInfo) ([3]net.Listener, error) {
	var listeners [3]net.Listener
	for n, address := range []string{info.CallerAddress, info.OperatorAddress, info.PeerAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners[:n] {
				_ = opened.Close()
			}
			return listeners, errs.Wrap(err, errs.Failed,
				"stop the program that uses the port, or choose another address", "listen on %s", address)
		}
		listeners[n] = listener
	}
	return listeners, nil
}

func standinCommand(received *signals.Received) *cli.Command {
	return &cli.Command{
		Name:      "standin",
		Usage:     "run the stand-in of the platform, with workers and executors, for development",
		UsageText: "mangodrumd standin --example bureau --listen 127.0.0.1:7069",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` of the platform's API", Value: "127.0.0.1:7069"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := untilHangup(ctx, received)
			defer cancel()
			p, err := startPlatform(ctx, c.String("example"), c.String("listen"))
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "ready platform=%s example=%s\n", p.Address, c.String("example"))
			<-ctx.Done()
			return p.Close()
		},
	}
}
