package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/emulator"
	loadclient "github.com/savorystall/savorystall/internal/load"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/settings"
)

// emulateCommand runs stand-ins of the platform and of all targets in a set of
// documents, for experiments with a fleet on one machine.
type emulateCommand struct {
	noopCommander
	Listen   string        `long:"listen" default:"127.0.0.1:18080" value-name:"IP:PORT" description:"listener of the emulated platform"`
	Settings []string      `long:"settings" value-name:"FILE" description:"settings file of a daemon to enter in the VM list; repeat for more"`
	Step     time.Duration `long:"step" default:"20ms" value-name:"DURATION" description:"time in which an emulated engine adds a token to every stream"`
	Batch    int           `long:"batch" value-name:"STREAMS" description:"streams that an emulated engine runs at once; default: the slots in its document"`
	Garbage  float64       `long:"garbage" value-name:"FRACTION" description:"fraction of responses, 0 to 1, in which emulated targets send bytes that are no part of them; default: 0"`
	Args     struct {
		Documents []string `positional-arg-name:"DOCUMENT" required:"1"`
	} `positional-args:"true"`
}

func (c *emulateCommand) run(ctx context.Context, a *app) error {
	cfg := emulator.Config{PlatformAddress: c.Listen, Step: c.Step, Batch: c.Batch, GarbageFraction: c.Garbage}
	for _, path := range c.Settings {
		s, err := settings.Load(path)
		if err != nil {
			return err
		}
		cfg.Daemons = append(cfg.Daemons, platform.VM{
			Name: string(s.Daemon), Zone: s.Zone, Address: s.Fleet.Advertise,
			Role: platform.RoleDaemon, State: platform.VMLive,
		})
	}
	for _, path := range c.Args.Documents {
		text, err := os.ReadFile(path)
		if err != nil {
			return merry.Prepend(err, "document")
		}
		cfg.Documents = append(cfg.Documents, string(text))
	}
	running, err := emulator.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Fprintf(a.invocation.Stdout, "emulating the platform at %s, %d engines and %d plain targets\n", running.PlatformURL, len(running.Engines), len(running.PlainTargets))
	<-ctx.Done()
	return nil
}

// loadCommand sends requests to a fleet with emulated targets and verifies the
// responses.
type loadCommand struct {
	noopCommander
	Args struct {
		Spec string `positional-arg-name:"FILE"`
	} `positional-args:"true" required:"true"`
}

func (c *loadCommand) run(ctx context.Context, a *app) error {
	text, err := os.ReadFile(c.Args.Spec)
	if err != nil {
		return merry.Prepend(err, "load file")
	}
	spec, err := loadclient.Parse(text)
	if err != nil {
		return err
	}
	return loadclient.WriteTable(a.invocation.Stdout, loadclient.Run(ctx, spec))
}
