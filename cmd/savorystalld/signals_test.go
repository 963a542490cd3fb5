package main_test

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/dev"
	"github.com/savorystall/savorystall/test/program"
)

// A second stop signal, or a reload in the same second, cuts requests off.
func TestFurtherSignalsCutNoRequestOff(t *testing.T) {
	is := is.New(t)
	binary, err := program.Build(t.TempDir())
	is.NoErr(err)
	cmd := exec.Command(binary, "--dev", "--callers", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--fleet", "127.0.0.1:0", "--log-level", "error")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := bufio.NewReader(out)
	line, err := lines.ReadString('\n')
	is.NoErr(err)
	address := strings.TrimSpace(strings.TrimPrefix(line, "ready "))
	go func() { _, _ = io.Copy(io.Discard, lines) }()

	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/v1/completions",
		strings.NewReader(`{"model":"recap-1","prompt":"p","max_tokens":64,"stream":true}`))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+dev.Key)
	r.Header.Set("Content-Type", "application/json")
	w, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = w.Body.Close() }()
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		is.NoErr(cmd.Process.Signal(signal))
		time.Sleep(20 * time.Millisecond)
	}
	begun := time.Now()
	body, err := io.ReadAll(w.Body)
	is.NoErr(err)
	t.Logf("the answer went on for %v after the signals", time.Since(begun))
	is.True(strings.HasSuffix(string(body), "data: [DONE]\n\n"))
	is.NoErr(cmd.Wait()) // by its own planned stop
}

// A reload reaches a daemon that is still reading its settings, and ends it.
func TestAReloadDoesNotEndADaemonThatStarts(t *testing.T) {
	is := is.New(t)
	binary, err := program.Build(t.TempDir())
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(file, 0o600)) // it is read when the test writes it
	cmd := exec.Command(binary, "--dev", "--settings", file, "--callers", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--fleet", "127.0.0.1:0")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	content, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the daemon has opened it
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	_, err = content.WriteString("log: {level: error}\n")
	is.NoErr(err)
	is.NoErr(content.Close())
	line, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err) // else it has ended
	is.True(strings.HasPrefix(line, "ready "))
}
