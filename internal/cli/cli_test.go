package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/cli"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testFleet runs the tool against a platform stand-in and fake daemons.
type testFleet struct {
	t        *testing.T
	platform *platformstandin.Server
	url      string
	daemons  []string
}

func newTestFleet(t *testing.T) *testFleet {
	server := platformstandin.New(platformstandin.Config{})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	t.Setenv("USER", "ana")
	t.Setenv("SAVORYSTALL_DAEMONS", "")
	return &testFleet{t: t, platform: server, url: listener.URL}
}

// startDaemon starts a server that responds like a daemon's operators' port. A
// stuck daemon never reads the table.
func (s *testFleet) startDaemon(name ident.Daemon, stuck bool) {
	store := config.NewStore()
	if !stuck {
		s.runWatcher(store)
	}
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(admin.Status{
			Daemon: name, Zone: "z", State: "ready", Head: store.Head(), ActiveRevisions: store.Revisions(),
			Queues:  []admin.Queue{{Service: "portal", Workspace: "w", Weight: 1, Waiting: [3]int{1, 0, 2}, Running: 3, Served: 10}},
			Targets: []admin.Target{{Service: "portal", Target: "t", Zone: "z", State: "live", Slots: 4, Running: len(name), Owner: "d1"}},
		})
	}))
	s.t.Cleanup(listener.Close)
	s.daemons = append(s.daemons, strings.TrimPrefix(listener.URL, "http://"))
}

func (s *testFleet) runWatcher(store *config.Store) {
	client := platform.NewClient(platform.ClientConfig{URL: s.url})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	watcher := config.NewWatcher(config.WatcherConfig{Table: client, Store: store, Interval: 5 * time.Millisecond})
	go func() {
		defer close(done)
		_ = watcher.Run(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
	})
}

// toolResult is the exit code and the output of one run of the tool.
type toolResult struct {
	code           int
	stdout, stderr string
}

func (s *testFleet) run(command ...string) toolResult {
	var stdout, stderr bytes.Buffer
	args := []string{"--platform", s.url}
	for _, address := range s.daemons {
		args = append(args, "--daemon", address)
	}
	code := cli.Run(s.t.Context(), cli.Invocation{
		Args:   append(args, command...),
		Stdin:  strings.NewReader("example-key-north\n"),
		Stdout: &stdout,
		Stderr: &stderr,
	})
	s.t.Logf("%s: exit %d\n%s%s", strings.Join(command, " "), code, stdout.String(), stderr.String())
	return toolResult{code, stdout.String(), stderr.String()}
}

// writeDocument writes a document of the service portal to a file, preceded by
// firstLine, and returns the path.
func (s *testFleet) writeDocument(weight int, firstLine string) string {
	text := fmt.Sprintf(`%sservice: portal
kind: plain
workspaces:
  - name: w
    weight: %d
    keys: [%q]
operations: [{name: read, method: GET, path: /cases}]
targets: [{name: t, zone: z, address: "127.0.0.1:1", slots: 1}]
`, firstLine, weight, document.HashKey("k"))
	path := filepath.Join(s.t.TempDir(), "portal.yaml")
	is.New(s.t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestEditAndRollback(t *testing.T) {
	is := is.New(t)
	s := newTestFleet(t)
	is.Equal(s.run("service", "apply", s.writeDocument(1, "")).code, cli.ExitOK)
	got := s.run("service", "get", "portal")
	is.True(strings.HasPrefix(got.stdout, "# savorystall revision: 1\n"))
	// The output of get contains the base revision, so that apply needs no --base.
	edited := strings.Replace(got.stdout, "weight: 1", "weight: 2", 1)
	path := filepath.Join(t.TempDir(), "edited.yaml")
	is.NoErr(os.WriteFile(path, []byte(edited), 0o600))
	is.Equal(s.run("service", "apply", path, "--note", "double").code, cli.ExitOK)
	diff := s.run("service", "diff", "portal")
	is.True(strings.Contains(diff.stdout, "-    weight: 1\n+    weight: 2"))
	is.Equal(s.run("service", "rollback", "portal", "--to", "1", "--base", "2").code, cli.ExitOK)
	history := s.run("service", "history", "portal")
	is.True(strings.Contains(history.stdout, "rollback to revision 1"))
	is.Equal(s.run("service", "delete", "portal", "--base", "3").code, cli.ExitOK)
	is.Equal(s.run("service", "get", "portal").code, cli.ExitNotFound)
	is.Equal(s.run("service", "delete", "nothing", "--base", "2").code, cli.ExitNotFound)
	var rows []map[string]any
	is.NoErr(json.Unmarshal([]byte(s.run("service", "list", "--all", "--output", "json").stdout), &rows))
	is.Equal(rows[0]["deleted"], true)
}

// Two operators edit the same revision. The second one must be told who made the
// other change and when, what it changed, and how to continue.
func TestConflictShowsTheOtherChange(t *testing.T) {
	is := is.New(t)
	s := newTestFleet(t)
	s.run("service", "apply", s.writeDocument(1, ""))
	base := "# savorystall revision: 1\n"
	is.Equal(s.run("--author", "ben", "service", "apply", s.writeDocument(5, base)).code, cli.ExitOK)
	late := s.run("service", "apply", s.writeDocument(7, base))
	is.Equal(late.code, cli.ExitConflict)
	is.True(strings.Contains(late.stderr, "ben changed it to revision 2"))
	is.True(strings.Contains(late.stderr, "+    weight: 5"))
	is.True(strings.Contains(late.stderr, "--base 2"))
	is.Equal(s.run("service", "apply", s.writeDocument(7, "")).code, cli.ExitConflict) // no base means a new service, but it exists
}

func TestInvalidDocumentReportsLineAndColumn(t *testing.T) {
	is := is.New(t)
	s := newTestFleet(t)
	for _, command := range []string{"check", "apply"} {
		bad := s.run("service", command, s.writeDocument(0, ""))
		is.Equal(bad.code, cli.ExitInvalid)
		is.True(strings.Contains(bad.stderr, "5:13: workspaces[0].weight: must be greater than 0"))
	}
	is.Equal(s.platform.Calls(platformstandin.Table), 0)
}

func TestWaitCountsActiveDaemons(t *testing.T) {
	is := is.New(t)
	s := newTestFleet(t)
	for i := range 3 {
		s.startDaemon(ident.Daemon("d"+strconv.Itoa(i+1)), false)
	}
	done := s.run("service", "apply", s.writeDocument(1, ""), "--wait", "--output", "json")
	is.Equal(done.code, cli.ExitOK)
	is.True(strings.Contains(done.stdout, `"in_force": 3`))
}

// One daemon keeps an old configuration and one is unreachable. The operator must
// learn that the change was accepted, and which daemons do not have it.
func TestWaitReportsDaemonsWithoutTheRevision(t *testing.T) {
	is := is.New(t)
	s := newTestFleet(t)
	s.startDaemon("d1", false)
	s.startDaemon("d2", true)
	s.daemons = append(s.daemons, "127.0.0.1:1")
	partly := s.run("service", "apply", s.writeDocument(1, ""), "--wait", "--wait-for", "2s")
	is.Equal(partly.code, cli.ExitNotActive)
	is.True(strings.Contains(partly.stdout, "1 of 3 daemons"))
	is.True(strings.Contains(partly.stderr, "d2 has revision 0"))
	is.True(strings.Contains(partly.stderr, "127.0.0.1:1 does not answer"))
}

func TestFleetLists(t *testing.T) {
	is := is.New(t)
	s := newTestFleet(t)
	is.Equal(s.run("status").code, cli.ExitUnavailable) // no daemon
	s.startDaemon("d1", true)
	s.startDaemon("d22", true)
	is.True(strings.Contains(s.run("status").stdout, "d22"))
	workspaces := s.run("workspace", "list").stdout
	is.True(strings.Contains(strings.Join(strings.Fields(workspaces), " "), "portal w 1 2 0 4 6 20 0"))
	s.run("service", "apply", s.writeDocument(5, "")) // the daemons report its workspace already
	is.Equal(strings.Count(s.run("workspace", "list").stdout, "portal"), 1)
	targets := s.run("target", "list", "--service", "portal").stdout
	is.True(strings.Contains(strings.Join(strings.Fields(targets), " "), "portal t z live 2 4 d1"))
	is.True(!strings.Contains(s.run("target", "list", "--service", "other").stdout, "portal"))
	is.Equal(s.run("watch", "--count", "2", "--interval", "1ms").code, cli.ExitOK)
}

// During an outage of the platform the operator must learn that nothing was
// changed, or, if the response to the write was lost, that the change may have
// been written.
func TestPlatformOutageExitCodes(t *testing.T) {
	is := is.New(t)
	s := newTestFleet(t)
	s.platform.SetFaults(platformstandin.Table, platformstandin.Faults{Unavailable: true})
	is.Equal(s.run("--timeout", "300ms", "service", "apply", s.writeDocument(1, "")).code, cli.ExitUnavailable)
	s.platform.SetFaults(platformstandin.Table, platformstandin.Faults{LostResponses: -1})
	unknown := s.run("--timeout", "300ms", "service", "apply", s.writeDocument(1, ""))
	is.Equal(unknown.code, cli.ExitUnknown)
	is.True(strings.Contains(unknown.stderr, "service history"))
}

func TestUsage(t *testing.T) {
	is := is.New(t)
	s := newTestFleet(t)
	is.Equal(s.run("--help").code, cli.ExitOK)
	for _, arguments := range [][]string{
		{}, {"fly"}, {"service"}, {"service", "get"}, {"service", "delete", "portal"},
		{"status", "more"}, {"completion", "tcsh"}, {"--output", "xml", "status"},
	} {
		is.Equal(s.run(arguments...).code, cli.ExitUsage)
	}
	is.Equal(s.run("service", "check", "/no/such/file").code, cli.ExitFailed)
	is.Equal(strings.TrimSpace(s.run("key", "hash").stdout), document.HashKey("example-key-north"))
	is.True(strings.Contains(s.run("completion", "bash").stdout, "GO_FLAGS_COMPLETION"))
}

// Operators on call often have only a log file: explain must work without a platform or a
// daemon, and reads standard input if no file is given.
func TestExplain(t *testing.T) {
	is := is.New(t)
	const log = `{"time":"2026-02-19T20:13:55Z","level":"INFO","msg":"request refused before it ran","event":204,"request":"a1","host":"h.example","path":"/x/","code":2010,"run":"not_run","reason":"2010 daemon_busy"}` + "\n"
	explain := func(input string, arguments ...string) (code int, stdout, stderr string) {
		var outBuffer, errBuffer bytes.Buffer
		code = cli.Run(t.Context(), cli.Invocation{Args: append([]string{"explain"}, arguments...), Stdin: strings.NewReader(input), Stdout: &outBuffer, Stderr: &errBuffer})
		return code, outBuffer.String(), errBuffer.String()
	}
	code, stdout, _ := explain(log, "a1")
	is.Equal(code, cli.ExitOK)
	is.True(strings.Contains(stdout, "stdin  204 request refused"))

	name := filepath.Join(t.TempDir(), "entry-7.log")
	is.NoErr(os.WriteFile(name, []byte(log+"no line of ours\n"), 0o600))
	code, stdout, stderr := explain("", "a1", name)
	is.Equal(code, cli.ExitOK)
	is.True(strings.Contains(stdout, "entry-7.log  204 request refused"))
	is.True(strings.Contains(stderr, "1 lines are none of a daemon's log"))

	code, _, stderr = explain(log, "b2")
	is.Equal(code, cli.ExitFailed)
	is.True(strings.Contains(stderr, "no line names the request"))
	code, _, _ = explain("", "a1", filepath.Join(t.TempDir(), "missing"))
	is.Equal(code, cli.ExitFailed)
	code, _, _ = explain("")
	is.Equal(code, cli.ExitUsage)
}
