package daemon

import (
	"context"
	"net"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/cell"
	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/signals"
	"github.com/mangodrum/mangodrum/platform"
	"github.com/mangodrum/mangodrum/telemetry"
)

const (
	// runtimeMemoryFraction is the part of the instance's memory that is set as
	// the memory limit of the Go runtime. The rest is left for socket buffers,
	// which count against the instance's memory as well.
	runtimeMemoryFraction = 0.6
	// gcPercent trades processor time for a smaller heap: both are billed, and
	// the heap is small.
	gcPercent = 60
	// settingsPollInterval is the interval between checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
)

func serveCommand(received *signals.Received) *cli.Command {
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
			return serve(ctx, path, received.Hangups, c.String("log-level"), c.Root().Writer)
		},
	}
}

// serve runs an instance with the settings file at path until ctx ends. A signal from
// hangups says that the file has changed. The instance logs to out.
func serve(ctx context.Context, path string, hangups <-chan os.Signal, level string, out interface{ Write([]byte) (int, error) }) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	limitMemory(int64(runtimeMemoryFraction * float64(settings.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	writer := telemetry.NewBoundedWriter(out)
	defer func() { _ = writer.Close() }()
	log, err := telemetry.NewLogger(writer, string(settings.Instance), level, true)
	if err != nil {
		return err
	}
	listeners, err := listenTCP4(
		listenAddress{settings.CallerAddress, clientReceiveBuffer}, listenAddress{settings.ReadinessAddress, clientReceiveBuffer},
		listenAddress{settings.PeerAddress, 0}, listenAddress{settings.MetricsAddress, clientReceiveBuffer},
	)
	if err != nil {
		return err
	}
	log.Info("settings", "region", settings.Location.Region, "failure_domain", settings.Location.FailureDomain,
		"callers", settings.CallerAddress, "store", settings.StoreAddress, "advisor", settings.AdvisorAddress, "first_start", settings.FirstStart)
	limits := cell.Limits{MemoryBytes: settings.MemoryBytes, Descriptors: descriptorLimit(settings.MaxDescriptors)}
	policy := dispatchPolicy(settings.TimeLimits)
	policy.MaxJobMemory = limits.JobMemory()
	instance := cell.New(cell.Options{
		ID: settings.Instance, PeerAddress: settings.PeerAddress, ProcessorShare: settings.ProcessorShare,
		CallerListener: listeners[0], ReadinessListener: listeners[1], PeerListener: listeners[2], MetricsListener: listeners[3],
		Store: platform.NewStore(settings.StoreAddress), Workers: platform.NewWorkerClient(),
		Advisor: platform.NewAdvisorClient(settings.AdvisorAddress), Codec: platform.Codec{}, PlatformNames: platform.Names(),
		Limits: limits, Policy: policy, DialPeer: platform.DialContext, StopGrace: settings.TimeLimits.StopGrace, Logger: log,
	})
	go watchSettings(ctx, path, hangups, settings, log)
	return instance.Run(ctx)
}

// dispatchPolicy returns the default policy, adapted to the platform's time
// limits.
func dispatchPolicy(limits platform.TimeLimits) dispatch.Policy {
	policy := dispatch.DefaultPolicy()
	if limits.MaxLease > 0 {
		policy.Lease = min(policy.Lease, limits.MaxLease)
		policy.MaxLease = limits.MaxLease
	}
	if limits.MaxStopTime > 0 {
		policy.MaxStopTime = limits.MaxStopTime
	}
	policy.Retention = max(policy.Retention, limits.StatusRetention)
	return policy
}

// clientReceiveBuffer is the size, in bytes, of the receive buffer of a connection of a client.
// What is received and not read yet counts against the instance's memory, and the system would
// let the buffer of each connection grow to several MB. Messages of peers are long and cross
// regions, so their buffers are left to the system.
const clientReceiveBuffer = 16 << 10

// listenAddress is an address to listen on, with the size of the receive buffers of its
// connections; 0 leaves it to the system.
type listenAddress struct {
	address       string
	receiveBuffer int
}

// listenTCP4 opens a listener on each address. After an error none is open.
func listenTCP4(addresses ...listenAddress) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, a := range addresses {
		address := a.address
		config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
			if a.receiveBuffer == 0 {
				return nil
			}
			return raw.Control(func(fd uintptr) { // a system that does not support it keeps its default
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, a.receiveBuffer)
			})
		}}
		listener, err := config.Listen(context.Background(), "tcp4", address)
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

// settingsLogger is the part of a logger that watchSettings uses.
type settingsLogger interface {
	Info(message string, args ...any)
	Warn(message string, args ...any)
}

// watchSettings logs changes of the settings file, which it checks at
// intervals and at each signal from hangups, until ctx ends. Changed addresses and limits
// take effect at the next start.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, current platform.Settings, log settingsLogger) {
	ticker := time.NewTicker(settingsPollInterval)
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
			log.Warn("reload: cannot load the settings file", "error", err)
			continue
		}
		log.Info("reload", "changed", settings != current)
		current = settings
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// is missing.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // differs from any later time, so the file is loaded and logged when it is back
	}
	return info.ModTime()
}
