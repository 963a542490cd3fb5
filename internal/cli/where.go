package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/ident"
)

type whereCommand struct {
	noopCommander
	Host         string          `long:"host" required:"yes" value-name:"HOST" description:"host of the request"`
	Path         string          `long:"path" required:"yes" value-name:"PATH" description:"path of the request"`
	Workspace    ident.Workspace `long:"workspace" value-name:"WORKSPACE" description:"workspace of the request"`
	Key          bool            `long:"key" description:"read the caller's bearer key from standard input instead"`
	PromptTokens int             `long:"prompt-tokens" value-name:"N" description:"size of the prompt"`
	OutputTokens int             `long:"output-tokens" value-name:"N" description:"maximum size of the answer"`
	Prefix       []string        `long:"prefix" value-name:"ID:TOKENS" description:"shared part of the prompt; repeat for more, in order"`
}

func (c *whereCommand) run(ctx context.Context, a *app) error {
	query, err := c.query(a.invocation.Stdin)
	if err != nil {
		return err
	}
	if len(a.options.Daemons) != 1 {
		return usageErrorf("name the daemon to ask with one --daemon")
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	where, err := askWhere(ctx, a.options.Daemons[0], query)
	if err != nil {
		return err
	}
	t := newTable("SERVICE", "SHARE USED", "TARGET", "ZONE", "SELECTED BY", "WEIGHT", "OWNER", "DECISION", "CACHED", "WAIT", "SLOTS USED", "FAILURES", "AGE", "STATE")
	for _, s := range where.Services {
		if len(s.Targets) == 0 {
			t.addRow(s.Service, fraction(s.ShareUsed), "-", "-", "-", "-", "-", s.Refusal, "-", "-", "-", "-", "-", "-")
		}
		for _, target := range s.Targets {
			t.addRow(s.Service, fraction(s.ShareUsed), target.Target, target.Zone, target.SelectedBy, fraction(target.Weight), target.Owner, target.Decision, target.CachedTokens,
				fmt.Sprintf("%d ms", target.WaitMillis), fraction(target.SlotUtilization), fraction(target.FailureRate), whereAge(target.AgeMillis), whereState(target))
		}
	}
	if a.options.Format != "json" {
		fmt.Fprintf(a.invocation.Stdout, "route %s, workspace %s\n", where.Route, where.Workspace)
	}
	return a.printResult(where, t)
}

// query returns the query. The key is read from standard input, because arguments are visible in the
// process list and in the shell history.
func (c *whereCommand) query(stdin io.Reader) (admin.WhereQuery, error) {
	q := admin.WhereQuery{Host: c.Host, Path: c.Path, Workspace: c.Workspace, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens}
	if c.Key && c.Workspace != "" {
		return q, usageErrorf("give --workspace or --key, not both")
	}
	for _, part := range c.Prefix {
		var p admin.WherePart
		id, tokens, _ := strings.Cut(part, ":")
		if _, err := fmt.Sscanf(tokens, "%d", &p.Tokens); err != nil || id == "" || p.Tokens < 0 {
			return q, usageErrorf("--prefix %q is not ID:TOKENS", part)
		}
		p.ID = id
		q.Prefix = append(q.Prefix, p)
	}
	if !c.Key {
		return q, nil
	}
	line, err := bufio.NewReader(stdin).ReadString('\n')
	if err != nil && err != io.EOF {
		return q, err
	}
	if q.Key = strings.TrimRight(line, "\r\n"); q.Key == "" {
		return q, usageErrorf("give the key on standard input")
	}
	return q, nil
}

// askWhere asks one daemon where a request would go.
func askWhere(ctx context.Context, address string, query admin.WhereQuery) (where admin.Where, err error) {
	// Marshalling cannot fail for a struct of strings and numbers.
	body, _ := json.Marshal(query)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+admin.WherePath, bytes.NewReader(body))
	if err != nil {
		return where, err
	}
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return where, merry.Prependf(errNoDaemon, "daemon at %s: %v", address, withoutURL(err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 200)) // the status suffices
		cause := merry.Errorf("status %d", response.StatusCode)
		switch response.StatusCode {
		case http.StatusNotFound:
			cause = config.ErrNotFound
		case http.StatusServiceUnavailable:
			cause = errNoDaemon
		case http.StatusBadRequest:
			cause = usageErrorf("the daemon does not accept the query")
		}
		return where, merry.Prependf(cause, "daemon at %s: %s", address, strings.TrimSpace(string(text)))
	}
	return where, json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&where)
}

func fraction(x float64) string { return fmt.Sprintf("%.2f", x) }

func whereAge(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	return fmt.Sprintf("%d ms", ms)
}

func whereState(t admin.WhereTarget) string {
	switch {
	case t.Suspended:
		return "failing"
	case t.Cold:
		return "cold"
	}
	return "usable"
}
