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

// Guards against further stop or reload signals during the shutdown interrupting
// requests in progress.
func TestRepeatedSignalsDoNotInterruptRequests(t *testing.T) {
	is := is.New(t)
	daemonPath, err := program.Build(t.TempDir())
	is.NoErr(err)
	cmd := exec.Command(daemonPath, "--dev", "--callers", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--fleet", "127.0.0.1:0", "--log-level", "error")
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

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/v1/completions",
		strings.NewReader(`{"model":"recap-1","prompt":"p","max_tokens":64,"stream":true}`))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+dev.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		is.NoErr(cmd.Process.Signal(signal))
		time.Sleep(20 * time.Millisecond)
	}
	start := time.Now()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	t.Logf("the response continued for %v after the signals", time.Since(start))
	is.True(strings.HasSuffix(string(body), "data: [DONE]\n\n"))
	is.NoErr(cmd.Wait()) // exits after its graceful shutdown
}

// Guards against SIGHUP terminating a daemon that is still reading its settings.
func TestReloadSignalDuringStartIsIgnored(t *testing.T) {
	is := is.New(t)
	daemonPath, err := program.Build(t.TempDir())
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(file, 0o600)) // the daemon blocks until the test has written the settings
	cmd := exec.Command(daemonPath, "--dev", "--settings", file, "--callers", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--fleet", "127.0.0.1:0")
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
	is.NoErr(err) // end of file if the daemon has exited
	is.True(strings.HasPrefix(line, "ready "))
}
