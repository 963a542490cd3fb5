package cli

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"github.com/savorystall/savorystall/internal/document"
)

// keyBytes is the randomness of a new bearer key.
const keyBytes = 32

type keyNew struct{ leaf }

// newKey is a bearer key for its holder and its digest for the document.
type newKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (c *keyNew) run(_ context.Context, a *app) error {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	key := base64.RawURLEncoding.EncodeToString(b[:])
	made := newKey{Key: key, Hash: document.HashKey(key)}
	t := newTable("KEY", "HASH")
	t.add(made.Key, made.Hash)
	return a.print(made, t)
}

type keyHash struct{ leaf }

// run reads the key from standard input, because arguments show in the list of
// processes and in the shell's history.
func (c *keyHash) run(_ context.Context, a *app) error {
	line, err := bufio.NewReader(a.system.Input).ReadString('\n')
	if err != nil && err != io.EOF {
		return err
	}
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return usage("give the key on standard input")
	}
	_, err = fmt.Fprintln(a.system.Output, document.HashKey(key))
	return err
}

type completionCommand struct {
	leaf
	Positional struct {
		Shell string `positional-arg-name:"SHELL" description:"bash or zsh"`
	} `positional-args:"yes" required:"yes"`
}

// The parser completes by itself when GO_FLAGS_COMPLETION is set.
const bashCompletion = `_savorystall() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
  return 0
}
complete -o default -F _savorystall savorystall
`

const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

func (c *completionCommand) run(_ context.Context, a *app) error {
	script := ""
	switch c.Positional.Shell {
	case "bash":
		script = bashCompletion
	case "zsh":
		script = zshCompletion
	default:
		return usage("completion knows bash and zsh, not %q", c.Positional.Shell)
	}
	_, err := io.WriteString(a.system.Output, script)
	return err
}
