// Package program builds the daemon for tests that run it as a process.
package program

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/ansel1/merry/v2"
)

const daemonPackage = "github.com/savorystall/savorystall/cmd/savorystalld"

// Build builds the daemon into dir with additional flags for go build, and returns
// the path of the executable.
func Build(dir string, flags ...string) (string, error) {
	binary := filepath.Join(dir, "savorystalld")
	args := append([]string{"build", "-o", binary}, flags...)
	build := exec.Command("go", append(args, daemonPackage)...)
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		return "", merry.Prepend(err, "building the daemon")
	}
	return binary, nil
}

// Main builds the daemon for all tests of a package, runs them and exits. Call it
// from TestMain. It sets *binary to the path of the executable before the tests
// run.
func Main(m *testing.M, binary *string, flags ...string) {
	os.Exit(buildAndRun(m, binary, flags))
}

func buildAndRun(m *testing.M, binary *string, flags []string) int {
	dir, err := os.MkdirTemp("", "savorystalld-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if *binary, err = Build(dir, flags...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// DependOnSources makes the cached result of a test depend on the daemon's source
// files by opening them. The go command reuses a cached result as long as the test
// binary and the files that the test opened are unchanged; without this, it would
// report an outdated result after a change of the daemon. Call it from a test in a
// directory two levels below the root.
func DependOnSources(t testing.TB) {
	t.Helper()
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
			t.Fatal(err)
		}
	}
}
