// Package process runs a part of a test as a process of its own, so that the
// test can stop it for a while and let it go on (SIGSTOP, SIGCONT).
//
// The test's program starts itself again with an environment variable that
// names the part. The two talk by lines on the child's standard input and output.
package process

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const variable = "SAVORYSTALL_TEST_PART"

// Part is the code of a child. Args are those given to Start.
type Part func(l *Lines, args []string)

// Lines is the child's end of the conversation. The child exits when the test's
// end is closed.
type Lines struct {
	heard chan string
}

func newLines() *Lines {
	l := &Lines{heard: make(chan string)}
	go func() {
		for s := bufio.NewScanner(os.Stdin); s.Scan(); {
			l.heard <- s.Text()
		}
		os.Exit(0)
	}()
	return l
}

// Say sends a line to the test.
func (l *Lines) Say(format string, args ...any) { fmt.Printf(format+"\n", args...) }

// Hear waits for a line of the test.
func (l *Lines) Hear() string { return <-l.heard }

// Main runs the part that the environment names, and does not return then. Call
// it first in TestMain.
func Main(parts map[string]Part) {
	name, args, _ := strings.Cut(os.Getenv(variable), " ")
	part, ok := parts[name]
	if !ok {
		return
	}
	part(newLines(), strings.Fields(args))
	os.Exit(0)
}

// Child is a running part. It ends with the test.
type Child struct {
	t     *testing.T
	cmd   *exec.Cmd
	in    io.Writer
	lines chan string
}

// Start runs a part as a process.
func Start(t *testing.T, part string, args ...string) *Child {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), variable+"="+part+" "+strings.Join(args, " "))
	cmd.Stderr = os.Stderr
	// A stopped process would outlive a test that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	c := &Child{t: t, cmd: cmd, in: in, lines: make(chan string, 100)}
	go func() {
		defer close(c.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			c.lines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it also ends a process that is stopped
		for range c.lines {
			continue
		}
		_ = cmd.Wait()
	})
	return c
}

// patience bounds the wait for a line.
const patience = 30 * time.Second

// Expect waits for a line that starts with the word and returns the rest. Other
// lines are skipped.
func (c *Child) Expect(word string) string {
	c.t.Helper()
	timeout := time.After(patience)
	for {
		select {
		case line, ok := <-c.lines:
			if !ok {
				c.t.Fatalf("the process ended before it said %q", word)
			}
			if rest, found := strings.CutPrefix(line, word); found {
				return strings.TrimSpace(rest)
			}
		case <-timeout:
			c.t.Fatalf("the process did not say %q", word)
		}
	}
}

// Tell sends a line to the child.
func (c *Child) Tell(line string) {
	c.t.Helper()
	if _, err := c.in.Write([]byte(line + "\n")); err != nil {
		c.t.Fatal(err)
	}
}

// Stop stops the process until Continue.
func (c *Child) Stop() { c.signal(syscall.SIGSTOP) }

// Continue lets a stopped process go on.
func (c *Child) Continue() { c.signal(syscall.SIGCONT) }

func (c *Child) signal(s syscall.Signal) {
	c.t.Helper()
	if err := c.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}
