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

// keyBytes is the number of random bytes in a new bearer key.
const keyBytes = 32

type keyNew struct{ noopCommander }

// generatedKey is a new bearer key, which is given to the caller, and its digest,
// which is stored in the document.
type generatedKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (c *keyNew) run(_ context.Context, a *app) error {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	key := base64.RawURLEncoding.EncodeToString(b[:])
	generated := generatedKey{Key: key, Hash: document.HashKey(key)}
	t := newTable("KEY", "HASH")
	t.addRow(generated.Key, generated.Hash)
	return a.printResult(generated, t)
}

type keyHash struct{ noopCommander }

// run reads the key from standard input, because arguments are visible in the
// process list and in the shell history.
func (c *keyHash) run(_ context.Context, a *app) error {
	line, err := bufio.NewReader(a.invocation.Stdin).ReadString('\n')
	if err != nil && err != io.EOF {
		return err
	}
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return usageErrorf("give the key on standard input")
	}
	_, err = fmt.Fprintln(a.invocation.Stdout, document.HashKey(key))
	return err
}

type completionCommand struct {
	noopCommander
	Positional struct {
		Shell string `positional-arg-name:"SHELL" description:"bash or zsh"`
	} `positional-args:"yes" required:"yes"`
}

// bashCompletion runs the tool with GO_FLAGS_COMPLETION set, in which case the
// parser prints the completions.
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
		return usageErrorf("completion knows bash and zsh, not %q", c.Positional.Shell)
	}
	_, err := io.WriteString(a.invocation.Stdout, script)
	return err
}
