// Package program builds the daemon for tests with real processes.
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

// Build builds the daemon into dir with further flags of go build, and returns
// the path of the program.
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

// Main builds the daemon for all tests of a package, runs them and exits; call it
// from TestMain. The path of the program is in *binary while they run.
func Main(m *testing.M, binary *string, flags ...string) {
	os.Exit(runAll(m, binary, flags))
}

func runAll(m *testing.M, binary *string, flags []string) int {
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

// OpenSources opens the sources of the daemon; call it from a test two folders
// below the root. The go command reuses a test's result while the test's own
// program and the files that its tests opened stay the same: without this, a
// change of the daemon would be answered by an old result.
func OpenSources(t testing.TB) {
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
