// Package examples contains example files, each of which is loaded by a test.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/load"
	"github.com/savorystall/savorystall/internal/settings"
)

// Every YAML file of the examples must load as the kind of file that its name
// indicates.
func TestExamplesLoad(t *testing.T) {
	files, err := filepath.Glob("*/*.yaml")
	is.New(t).NoErr(err)
	for _, path := range files {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(path)
			is.NoErr(err)
			switch {
			case strings.HasPrefix(filepath.Base(path), "daemon"):
				_, err = settings.Parse(text)
			case strings.HasPrefix(filepath.Base(path), "load"):
				_, err = load.Parse(text)
			default:
				_, err = document.Parse(text)
			}
			is.NoErr(err)
		})
	}
	is.New(t).True(len(files) > 10) // the glob pattern matches the files
}

// Each example fleet must be complete: the load file lists all its daemons, each
// daemon has a unique name and unique ports, and every target has a daemon in its
// availability zone. Otherwise targets stay idle or ports collide when a new user
// first runs the example.
func TestFleetsAreComplete(t *testing.T) {
	fleets := map[string][]string{"kettleford": {"lm-pool", "sync-api"}, "tierra-firme": {"redactor", "portal-socios"}}
	for fleet, services := range fleets {
		t.Run(fleet, func(t *testing.T) {
			is := is.New(t)
			zones, ports := loadDaemons(t, fleet)
			for _, service := range services {
				text, err := os.ReadFile(filepath.Join(fleet, service+".yaml"))
				is.NoErr(err)
				d, err := document.Parse(text)
				is.NoErr(err)
				is.Equal(string(d.Service), service)
				is.Equal(len(d.Workspaces), 16)
				for _, target := range d.Targets {
					is.True(zones[target.Zone])     // a daemon in its zone
					is.True(!ports[target.Address]) // a unique port
					ports[target.Address] = true
				}
			}
		})
	}
}

// loadDaemons checks the settings of a fleet's daemons and returns the daemons'
// availability zones and listen addresses.
func loadDaemons(t *testing.T, fleet string) (zones map[ident.Zone]bool, ports map[string]bool) {
	t.Helper()
	is := is.New(t)
	zones, ports = map[ident.Zone]bool{}, map[string]bool{}
	names := map[ident.Daemon]bool{}
	files, err := filepath.Glob(fleet + "/daemon-*.yaml")
	is.NoErr(err)
	text, err := os.ReadFile(filepath.Join(fleet, "load.yaml"))
	is.NoErr(err)
	spec, err := load.Parse(text)
	is.NoErr(err)
	is.Equal(len(spec.Daemons), len(files))
	for i, path := range files {
		s, err := settings.Load(path)
		is.NoErr(err)
		is.Equal(spec.Daemons[i], "http://"+s.Callers.Listen)
		is.True(!names[s.Daemon]) // a unique name
		names[s.Daemon], zones[s.Zone] = true, true
		for _, address := range []string{s.Callers.Listen, s.Operators.Listen, s.Fleet.Listen} {
			is.True(!ports[address]) // a unique port
			ports[address] = true
		}
	}
	return zones, ports
}

// The systemd unit must start the daemon with existing flags, and its stop timeout
// must not interrupt a graceful shutdown.
func TestSystemdUnit(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("systemd/savorystalld.service")
	is.NoErr(err)
	is.True(strings.Contains(string(text), "savorystalld --settings /"))
	is.True(strings.Contains(string(text), "TimeoutStopSec=2h"))
}
