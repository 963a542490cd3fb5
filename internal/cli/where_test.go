package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/admin"
)

// Guards against a key on the command line, against output that a script cannot read, and against exit
// codes other than those of the related commands.
func TestWhereShowsWhatTheDaemonWouldDecide(t *testing.T) {
	answer := admin.Where{Route: "chat", Workspace: "club", Services: []admin.WhereService{
		{Service: "pool", Weight: 1, ShareUsed: 0.5, Targets: []admin.WhereTarget{{Target: "t-1", Zone: "z", Owner: "a", SelectedBy: "home 1", Weight: 1.46, Decision: "slots", CachedTokens: 20, WaitMillis: 7, AgeMillis: -1}}},
		{Service: "other", Refusal: "zones_evacuated"},
	}}
	status := http.StatusOK
	var query admin.WhereQuery
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = admin.WhereQuery{}
		_ = json.NewDecoder(r.Body).Decode(&query)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer daemon.Close()
	address := strings.TrimPrefix(daemon.URL, "http://")
	run := func(stdin string, args ...string) (code int, out string) {
		var stdout, messages bytes.Buffer
		args = append([]string{"where", "--host", "h.example", "--path", "/chat/x"}, args...)
		code = Run(context.Background(), Invocation{Args: args, Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &messages})
		return code, stdout.String()
	}
	is := is.New(t)
	code, out := run("key-club\n", "--daemon", address, "--key", "--prompt-tokens", "50", "--output-tokens", "9", "--prefix", "a1:20")
	is.Equal(code, ExitOK)
	is.Equal(query, admin.WhereQuery{Host: "h.example", Path: "/chat/x", Key: "key-club", PromptTokens: 50, OutputTokens: 9, Prefix: []admin.WherePart{{ID: "a1", Tokens: 20}}})
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 4)
	is.Equal(lines[0], "route chat, workspace club")
	is.Equal(strings.Fields(lines[2]), strings.Fields("pool 0.50 t-1 z home 1 1.46 a slots 20 7 ms 0.00 0.00 unknown usable"))
	is.True(strings.Contains(lines[3], "zones_evacuated"))

	code, out = run("", "--daemon", address, "--workspace", "club", "--output", "json")
	is.Equal(code, ExitOK)
	var decoded admin.Where
	is.NoErr(json.Unmarshal([]byte(out), &decoded))
	is.Equal(decoded, answer)

	for want, got := range map[int]int{http.StatusNotFound: ExitNotFound, http.StatusServiceUnavailable: ExitUnavailable, http.StatusForbidden: ExitFailed, http.StatusBadRequest: ExitUsage} {
		status = want
		code, _ = run("", "--daemon", address)
		is.Equal(code, got)
	}
	for _, args := range [][]string{{}, {"--daemon", address, "--daemon", address}, {"--daemon", address, "--prefix", "a1"}, {"--daemon", address, "--key", "--workspace", "club"}, {"--daemon", address, "--key"}} {
		code, _ = run("", args...)
		is.Equal(code, ExitUsage)
	}
	daemon.Close()
	code, _ = run("", "--daemon", address)
	is.Equal(code, ExitUnavailable)
}
