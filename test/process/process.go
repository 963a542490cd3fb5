// Package process runs part of a test in a separate process, so that the test can
// suspend and resume it (SIGSTOP, SIGCONT).
//
// The test binary executes itself with an environment variable that selects the
// function to run. Parent and child exchange lines through the child's standard
// input and output.
package process

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const partVariable = "SAVORYSTALL_TEST_PART"

// ChildFunc is a function that runs in a child process. The args are those passed
// to Start.
type ChildFunc func(parent *ParentPipe, args []string)

// ParentPipe is the child's end of the pipes to the test process. The child exits
// when the other end is closed.
type ParentPipe struct {
	received chan string
}

func newParentPipe() *ParentPipe {
	p := &ParentPipe{received: make(chan string)}
	go func() {
		for s := bufio.NewScanner(os.Stdin); s.Scan(); {
			p.received <- s.Text()
		}
		os.Exit(0)
	}()
	return p
}

// Send sends a line to the test.
func (p *ParentPipe) Send(format string, args ...any) { fmt.Printf(format+"\n", args...) }

// Receive waits for a line from the test.
func (p *ParentPipe) Receive() string { return <-p.received }

// Main runs the function selected by the environment variable and then exits. It
// returns only if none is selected. Call it first in TestMain.
func Main(parts map[string]ChildFunc) {
	name, args, _ := strings.Cut(os.Getenv(partVariable), " ")
	part, ok := parts[name]
	if !ok {
		return
	}
	part(newParentPipe(), strings.Fields(args))
	os.Exit(0)
}

// Child is a running child process. It is killed when the test ends.
type Child struct {
	t     *testing.T
	cmd   *exec.Cmd
	in    io.Writer
	lines chan string
}

// Start starts a child process that runs the given part with args. No argument may
// contain spaces.
func Start(t *testing.T, part string, args ...string) *Child {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), partVariable+"="+part+" "+strings.Join(args, " "))
	cmd.Stderr = os.Stderr
	// Without this, a suspended child would outlive a test process that is killed.
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
		_ = cmd.Process.Kill() // SIGKILL also ends a suspended process
		for range c.lines {
			continue
		}
		_ = cmd.Wait()
	})
	return c
}

// expectTimeout is the maximum time that Expect waits.
const expectTimeout = 30 * time.Second

// Expect waits for a line that starts with the prefix and returns the rest of it.
// Other lines are skipped.
func (c *Child) Expect(prefix string) string {
	c.t.Helper()
	timeout := time.After(expectTimeout)
	for {
		select {
		case line, ok := <-c.lines:
			if !ok {
				c.t.Fatalf("the child exited before it wrote a line with prefix %q", prefix)
			}
			if rest, found := strings.CutPrefix(line, prefix); found {
				return strings.TrimSpace(rest)
			}
		case <-timeout:
			c.t.Fatalf("the child wrote no line with prefix %q before the timeout", prefix)
		}
	}
}

// Send sends a line to the child.
func (c *Child) Send(line string) {
	c.t.Helper()
	if _, err := c.in.Write([]byte(line + "\n")); err != nil {
		c.t.Fatal(err)
	}
}

// Suspend suspends the process until Resume. When it returns, no thread of the process runs any more:
// the kernel stops each of them only when it comes to handle the signal.
func (c *Child) Suspend() {
	c.t.Helper()
	c.signal(syscall.SIGSTOP)
	for end := time.Now().Add(suspendTimeout); !c.isSuspended(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("the process is not suspended after %s", suspendTimeout)
		}
	}
}

// suspendTimeout is how long the threads of a process may take to stop on a busy machine.
const suspendTimeout = 5 * time.Second

// isSuspended reports whether all threads of the process are stopped, by proc_pid_stat(5).
func (c *Child) isSuspended() bool {
	c.t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", c.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		c.t.Fatalf("no threads of process %d: %v", c.cmd.Process.Pid, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return false // the thread has ended; the next look has others
		}
		_, state, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Resume resumes a suspended process.
func (c *Child) Resume() { c.signal(syscall.SIGCONT) }

func (c *Child) signal(s syscall.Signal) {
	c.t.Helper()
	if err := c.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}
