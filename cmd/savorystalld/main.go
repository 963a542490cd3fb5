// Command savorystalld is the daemon: it accepts callers' requests, shares the
// capacity of targets among workspaces together with its peers, and runs the
// requests on targets.
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

// options are the flags. A flag overrides the environment, which overrides the
// settings file.
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
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // first: until then the signal ends the process
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	defaults, closeDev, err := o.stall(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "savorystalld:", err)
		return exitFailed
	}
	defer closeDev()
	s, err := settings.Load(o.Settings, defaults, settings.FromEnvironment(os.LookupEnv), o.override)
	if err != nil {
		event.SettingsInvalid.Log(newLogger("info"), "error", err)
		return exitSettings
	}
	if err := daemon.CheckFiles(s); err != nil {
		event.SettingsInvalid.Log(newLogger("info"), "error", err)
		return exitSettings
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
	lines := logging.NewWriter(out)
	defer lines.Close()
	log := newLoggerTo(lines, s.Log.Level)
	reloading := o.reload(ctx, log, reloads, defaults)
	defer reloading()
	if err := daemon.Run(ctx, s, log, func(a daemon.Addresses) { o.announce(a, s.Platform.URL) }); err != nil {
		fmt.Fprintln(os.Stderr, "savorystalld:", err)
		return exitFailed
	}
	return exitOK
}

// stall starts the stand-ins where they are asked for and returns the settings
// that follow from them.
func (o *options) stall(ctx context.Context) (settings.Override, func(), error) {
	if !o.Dev {
		return func(*settings.Settings) {}, func() {}, nil
	}
	stall, err := dev.Start(ctx)
	if err != nil {
		return nil, nil, err
	}
	return func(s *settings.Settings) {
		s.Daemon, s.Zone = "dev", dev.Zone
		s.Platform.URL = stall.URL
		s.Stop.BalancerLag = 0
	}, stall.Close, nil
}

func (o *options) override(s *settings.Settings) {
	set := func(value string, assign func(string)) {
		if value != "" {
			assign(value)
		}
	}
	set(o.Daemon, func(v string) { s.Daemon = ident.Daemon(v) })
	set(o.Zone, func(v string) { s.Zone = ident.Zone(v) })
	set(o.Callers, func(v string) { s.Callers.Listen = v })
	set(o.Operators, func(v string) { s.Operators.Listen = v })
	set(o.Fleet, func(v string) { s.Fleet.Listen = v })
	set(o.Platform, func(v string) { s.Platform.URL = v })
	set(o.LogLevel, func(v string) { s.Log.Level = v })
}

// announce tells people and scripts on stdout that callers are served, and in
// dev mode how the operators' tool and a caller reach the site.
func (o *options) announce(a daemon.Addresses, platform string) {
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
	// The settings' validator has checked the level; an unknown one is info.
	_ = l.UnmarshalText([]byte(level))
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l}))
}

const (
	megabyte = 1 << 20
	// heapShare is the part of the VM's memory that the Go heap may take before
	// the collector works harder. The rest is for stacks, the kernel's buffers of
	// unread bytes, and the binary.
	heapShare = 0.7
)

// limitMemory sets the runtime's soft limit for a VM with so many MB; zero means no
// bound, and leaves the runtime as it is.
func limitMemory(mb int) {
	if mb <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(float64(mb) * megabyte * heapShare))
}

// reload answers SIGHUP: the settings are read and checked again, and the line
// says what came of it. What changed takes effect at the next start.
func (o *options) reload(ctx context.Context, log *slog.Logger, signals <-chan os.Signal, defaults settings.Override) (stop func()) {
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
