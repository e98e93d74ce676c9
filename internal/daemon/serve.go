package daemon

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/cell"
	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/platform"
	"github.com/mangodrum/mangodrum/telemetry"
)

const (
	// memoryShare of the instance's memory is the garbage collector's limit;
	// the rest is left to the sockets' buffers, which count as well.
	memoryShare = 0.6
	// garbagePercent trades processor time for a smaller heap, as both are
	// billed and the heap is small.
	garbagePercent = 60
	// settingsPoll is how often the settings file is looked at, since it may
	// change without a signal.
	settingsPoll = 2 * time.Second
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:      "serve",
		Usage:     "run one instance of a cell on the platform that the environment describes",
		UsageText: "mangodrumd serve [--config settings.yaml]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "the platform's settings `FILE`; by default the one that the environment names"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("config")
			if path == "" {
				var err error
				if path, err = platform.SettingsPath(); err != nil {
					return err
				}
			}
			return serve(ctx, path, c.String("log-level"), c.Root().Writer)
		},
	}
}

func serve(ctx context.Context, path, level string, out interface{ Write([]byte) (int, error) }) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	limitMemory(int64(memoryShare * float64(settings.MemoryBytes)))
	debug.SetGCPercent(garbagePercent)
	writer := telemetry.NewBoundedWriter(out)
	defer func() { _ = writer.Close() }()
	log, err := telemetry.NewLogger(writer, string(settings.Instance), level, true)
	if err != nil {
		return err
	}
	listeners, err := listenOn(settings.CallerAddress, settings.ReadinessAddress, settings.PeerAddress, settings.MetricsAddress)
	if err != nil {
		return err
	}
	log.Info("settings", "region", settings.Location.Region, "failure_domain", settings.Location.FailureDomain,
		"callers", settings.CallerAddress, "store", settings.StoreAddress, "advisor", settings.AdvisorAddress, "first_start", settings.FirstStart)
	instance := cell.New(cell.Options{
		ID: settings.Instance, PeerAddress: settings.PeerAddress, ProcessorShare: settings.ProcessorShare,
		CallerListener: listeners[0], ReadinessListener: listeners[1], PeerListener: listeners[2], MetricsListener: listeners[3],
		Store: platform.NewStore(settings.StoreAddress), Workers: platform.NewWorkerClient(),
		Advisor: platform.NewAdvisorClient(settings.AdvisorAddress), Codec: platform.Codec{}, PlatformNames: platform.Names(),
		Policy: policyOf(settings.TimeLimits), DialPeer: platform.DialContext, StopGrace: settings.TimeLimits.StopGrace, Logger: log,
	})
	go watchSettings(ctx, path, settings, log)
	return instance.Run(ctx)
}

// policyOf adapts the default policy to the platform's time limits.
func policyOf(t platform.TimeLimits) dispatch.Policy {
	policy := dispatch.DefaultPolicy()
	if t.MaxLease > 0 {
		policy.Lease = min(policy.Lease, t.MaxLease)
	}
	if t.MaxStopTime > 0 {
		policy.MaxStopTime = t.MaxStopTime
	}
	policy.Retention = max(policy.Retention, t.StatusRetention)
	return policy
}

// listenOn opens a listener on each address, or none.
func listenOn(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, errs.Wrap(err, errs.Failed, "stop the program that uses the port", "listen on %s", address)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// infoLogger is the part of a logger that watchSettings uses.
type infoLogger interface {
	Info(message string, args ...any)
	Warn(message string, args ...any)
}

// watchSettings reports changes of the settings file. Addresses and limits
// take effect with the next start.
func watchSettings(ctx context.Context, path string, current platform.Settings, log infoLogger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	modified := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if changed := modTime(path); changed.Equal(modified) {
				continue
			}
		}
		modified = modTime(path)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			log.Warn("reload: the settings were refused", "error", err)
			continue
		}
		log.Info("reload", "changed", settings != current)
		current = settings
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // read again, and reported, when it is back
	}
	return info.ModTime()
}
