// Package examples holds example files; each is loaded by a test.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/load"
	"github.com/savorystall/savorystall/internal/settings"
)

// Every YAML file of the examples must load as what its place says that it is.
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
	is.New(t).True(len(files) > 10) // the pattern finds the files
}

// The unit must start the daemon with flags that it has, and must not cut off a
// planned stop.
func TestSystemdUnit(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("systemd/savorystalld.service")
	is.NoErr(err)
	is.True(strings.Contains(string(text), "savorystalld --settings /"))
	is.True(strings.Contains(string(text), "TimeoutStopSec=2h"))
}
