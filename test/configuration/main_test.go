// Package configuration_test runs real daemon processes, each behind its own
// fault-injecting proxy to the platform's stand-in, and checks that an accepted
// document gets in force everywhere and never reverts.
package configuration_test

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the daemon's program, built once for all tests.
var binary string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

// openSources opens the sources of the daemon. The go command reuses a test's
// result while the test's own program and the files that it opened stay the
// same; without this a change of the daemon would be answered by an old result.
// Files that are opened before the first test do not count.
func openSources() error {
	for _, root := range []string{"../../cmd", "../../internal", "../../charts", "../../api"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			file, err := os.Open(path)
			if err != nil {
				return err
			}
			return file.Close()
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "savorystall-configuration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "savorystalld")
	build := exec.Command("go", "build", "-o", binary, "github.com/savorystall/savorystall/cmd/savorystalld")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the daemon:", err)
		return 1
	}
	return m.Run()
}
