// Package knownred tests the script that reads the list of known failing tests,
// which CI skips.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const script = "../../.ci/known-red"

// runScript runs the script on a list, for a module with the tests TestRed,
// TestRedder and TestWell. It returns the skip pattern that the script prints and
// the output of go test with that pattern. If the script fails, it returns the
// script's standard error as output, and false.
func runScript(t *testing.T, list string) (pattern, output string, ok bool) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	tests := "package m\n\nimport \"testing\"\n\n" +
		"func TestRed(t *testing.T) { t.Run(\"a_1.5\", func(t *testing.T) { t.Fail() }) }\n\n" +
		"func TestRedder(t *testing.T) {}\n\nfunc TestWell(t *testing.T) {}\n"
	is.NoErr(os.WriteFile(filepath.Join(dir, "m_test.go"), []byte(tests), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module m\n\ngo 1.26\n"), 0o600))
	file := filepath.Join(dir, "KNOWN-RED.txt")
	is.NoErr(os.WriteFile(file, []byte(list), 0o600))
	cmd := exec.Command(script, file, dir)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return "", stderr.String(), false
	}
	run := exec.Command("go", "test", "-count=1", "-v", "-skip", string(out), "./...")
	if len(out) == 0 {
		run = exec.Command("go", "test", "-count=1", "-v", "./...")
	}
	run.Dir = dir
	lines, _ := run.CombinedOutput() // the callers check the lines, not the exit code
	return string(out), string(lines), true
}

// CI skips exactly the listed tests: neither a test whose name has a listed name as
// prefix, nor a failing test that is not listed.
func TestOnlyListedTestsAreSkipped(t *testing.T) {
	is := is.New(t)
	_, lines, ok := runScript(t, "# none\n")
	is.True(ok)
	is.True(strings.Contains(lines, "--- FAIL: TestRed "))
	for _, name := range []string{"TestRed", "TestRed/a_1.5"} {
		_, lines, ok = runScript(t, "# one\n\n"+name+" | go test . | none | it fails | issue 22\n")
		is.True(ok)
		is.True(!strings.Contains(lines, "--- FAIL"))
		is.True(strings.Contains(lines, "--- PASS: TestRedder"))
		is.True(strings.Contains(lines, "--- PASS: TestWell"))
	}
}

// A "play" entry describes a failing run on the users' test bench, not a Go test. It
// is listed and printed, but no test is skipped for it.
func TestPlayEntrySkipsNoTest(t *testing.T) {
	is := is.New(t)
	pattern, _, ok := runScript(t, "play | run SITE DAY | 7 | one of two plays | issue 22\n")
	is.True(ok)
	is.Equal(pattern, "")
}

// An entry with a missing field, or with a test name that no longer exists, would
// hide a fault that cannot be traced any more.
func TestIncompleteEntriesAreRejected(t *testing.T) {
	for _, entry := range []string{
		"TestRed | go test . | none | it fails",
		"TestRed | go test . | none |  | issue 22",
		"TestRed | go test . |  | it fails | issue 22",
		"TestRed | go test . | none | it fails | later",
		"TestGone | go test . | none | it fails | issue 22",
		"Test.* | go test . | none | it fails | issue 22",
		"anything | go test . | none | it fails | issue 22",
	} {
		t.Run(entry, func(t *testing.T) {
			_, output, ok := runScript(t, entry+"\n")
			is := is.New(t)
			is.True(!ok)
			is.True(strings.Contains(output, "KNOWN-RED.txt:1: "))
		})
	}
}
