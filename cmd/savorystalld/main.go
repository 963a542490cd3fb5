// Command savorystalld is the daemon: it accepts callers' requests, divides the
// capacity of targets among workspaces in cooperation with its peers, and
// forwards the requests to targets.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/savorystall/savorystall/internal/daemon"
	"github.com/savorystall/savorystall/internal/dev"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/internal/settings"
)

// options are the command-line flags. A flag overrides the environment, which
// overrides the settings file.
type options struct {
	Settings  string `short:"s" long:"settings" description:"settings file (YAML)" value-name:"FILE"`
	Check     bool   `long:"check" description:"check the settings and exit"`
	Dev       bool   `long:"dev" description:"run with embedded stand-ins of the platform and of targets"`
	Daemon    string `long:"daemon" description:"name of this daemon"`
	Zone      string `long:"zone" description:"availability zone of this VM"`
	Callers   string `long:"callers" description:"listener for callers" value-name:"IP:PORT"`
	Operators string `long:"operators" description:"listener for operators" value-name:"IP:PORT"`
	Fleet     string `long:"fleet" description:"listener for other daemons" value-name:"IP:PORT"`
	Platform  string `long:"platform" description:"base URL of the platform's services" value-name:"URL"`
	LogLevel  string `long:"log-level" description:"debug, info, warn or error"`
}

// Exit codes.
const (
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // must come first: an unhandled SIGHUP terminates the process
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitInvalidSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	defaults, closeDev, err := o.startDev(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "savorystalld:", err)
		return exitFailed
	}
	defer closeDev()
	s, err := settings.Load(o.Settings, defaults, settings.FromEnvironment(os.LookupEnv), o.override)
	if err != nil {
		event.SettingsInvalid.Log(newLogger("info"), "error", err)
		return exitInvalidSettings
	}
	if err := daemon.CheckFiles(s); err != nil {
		event.SettingsInvalid.Log(newLogger("info"), "error", err)
		return exitInvalidSettings
	}
	if o.Check {
		fmt.Println("the settings are valid")
		return exitOK
	}
	limitMemory(s.Memory.Limit)
	out := os.Stderr
	if s.Log.Output == "stdout" {
		out = os.Stdout
	}
	logOutput := logging.NewWriter(out)
	defer logOutput.Close()
	log := newLoggerTo(logOutput, s.Log.Level)
	stopReloads := o.handleReloads(ctx, log, reloads, defaults)
	defer stopReloads()
	if err := daemon.Run(ctx, s, log, func(a daemon.Addresses) { o.printReady(a, s.Platform.URL) }); err != nil {
		fmt.Fprintln(os.Stderr, "savorystalld:", err)
		return exitFailed
	}
	return exitOK
}

// startDev starts the stand-ins if --dev is set. It returns the settings that
// refer to them and a function that stops them.
func (o *options) startDev(ctx context.Context) (settings.Override, func(), error) {
	if !o.Dev {
		return func(*settings.Settings) {}, func() {}, nil
	}
	emulated, err := dev.Start(ctx)
	if err != nil {
		return nil, nil, err
	}
	return func(s *settings.Settings) {
		s.Daemon, s.Zone = "dev", dev.Zone
		s.Platform.URL = emulated.PlatformURL
		s.Stop.BalancerLag = 0
	}, emulated.Close, nil
}

func (o *options) override(s *settings.Settings) {
	setIfGiven := func(value string, assign func(string)) {
		if value != "" {
			assign(value)
		}
	}
	setIfGiven(o.Daemon, func(v string) { s.Daemon = ident.Daemon(v) })
	setIfGiven(o.Zone, func(v string) { s.Zone = ident.Zone(v) })
	setIfGiven(o.Callers, func(v string) { s.Callers.Listen = v })
	setIfGiven(o.Operators, func(v string) { s.Operators.Listen = v })
	setIfGiven(o.Fleet, func(v string) { s.Fleet.Listen = v })
	setIfGiven(o.Platform, func(v string) { s.Platform.URL = v })
	setIfGiven(o.LogLevel, func(v string) { s.Log.Level = v })
}

// printReady prints to stdout, for users and scripts, that the daemon accepts
// requests, and with --dev how the operators' tool and a caller can connect to it.
func (o *options) printReady(a daemon.Addresses, platform string) {
	fmt.Printf("ready http://%s\n", a.Callers)
	if !o.Dev {
		return
	}
	fmt.Printf("export SAVORYSTALL_PLATFORM=%s SAVORYSTALL_DAEMONS=%s\n", platform, a.Operators)
	fmt.Printf("curl -sS http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"recap-1\",\"prompt\":\"Where did I crash?\",\"max_tokens\":8}'\n", a.Callers, dev.Key)
}

func newLogger(level string) *slog.Logger { return newLoggerTo(os.Stderr, level) }

func newLoggerTo(out io.Writer, level string) *slog.Logger {
	var l slog.Level
	// The level was checked by the validation of the settings; an invalid one
	// results in info.
	_ = l.UnmarshalText([]byte(level))
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l}))
}

const (
	megabyte = 1 << 20
	// heapFraction is the fraction of the VM's memory that the Go heap may use
	// before the garbage collector runs more often. The rest is for stacks, unread
	// bytes in the kernel's socket buffers, and the binary.
	heapFraction = 0.7
)

// limitMemory sets the soft memory limit of the Go runtime for a VM with mb MB of
// memory. Zero means that the memory is not bounded, and leaves the runtime's
// limit unchanged.
func limitMemory(mb int) {
	if mb <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(float64(mb) * megabyte * heapFraction))
}

// handleReloads reads and validates the settings again at each SIGHUP and logs the
// result. Changes take effect at the next start.
func (o *options) handleReloads(ctx context.Context, log *slog.Logger, signals <-chan os.Signal, defaults settings.Override) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			if _, err := settings.Load(o.Settings, defaults, settings.FromEnvironment(os.LookupEnv), o.override); err != nil {
				event.SettingsInvalid.Log(log, "error", err)
				continue
			}
			event.SettingsReloaded.Log(log, "file", o.Settings)
		}
	}()
	return cancel
}
