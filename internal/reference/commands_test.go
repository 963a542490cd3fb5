package reference_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/cli"
)

var (
	inlineCode = regexp.MustCompile("`([^`\n]+)`")
	codeBlock  = regexp.MustCompile("(?ms)^```[a-z]*\n(.*?)^```")
	flagName   = regexp.MustCompile(`^--[a-z][a-z-]*`)
	daemonFlag = regexp.MustCompile(`long:"([a-z-]+)"`)
)

// Guards against pages that show a command or flag that the program does not have.
func TestDocumentedCommandsExist(t *testing.T) {
	found := 0
	for page, text := range markdownPages(t) {
		if strings.HasPrefix(page, "docs/design/") || page == "CHANGELOG.md" {
			continue
		}
		for _, line := range codeLines(text) {
			for _, words := range invocations(line) {
				found++
				if problem := checkInvocation(t, words); problem != "" {
					t.Errorf("%s: %q: %s", page, strings.Join(words, " "), problem)
				}
			}
		}
	}
	is.New(t).True(found > 60) // the patterns find the commands
}

// codeLines returns the code on a page: inline code, and the lines of code blocks
// without comments and prompts.
func codeLines(text string) []string {
	var lines []string
	for _, block := range codeBlock.FindAllStringSubmatch(text, -1) {
		for _, line := range strings.Split(block[1], "\n") {
			line, _, _ = strings.Cut(line, " #")
			lines = append(lines, strings.TrimPrefix(line, "$ "))
		}
	}
	for _, code := range inlineCode.FindAllStringSubmatch(codeBlock.ReplaceAllString(text, ""), -1) {
		lines = append(lines, code[1])
	}
	return lines
}

// invocations returns the invocations of either program in a shell command line.
func invocations(line string) [][]string {
	var found [][]string
	for _, part := range strings.FieldsFunc(line, func(r rune) bool { return strings.ContainsRune("|&;<>()", r) }) {
		words := strings.Fields(part)
		if len(words) > 0 && words[0] == "do" {
			words = words[1:]
		}
		if len(words) > 1 && (words[0] == "savorystall" || words[0] == "savorystalld") {
			found = append(found, words)
		}
	}
	return found
}

// checkInvocation returns a description of the command or flag that the program does
// not have, or an empty string.
func checkInvocation(t *testing.T, words []string) string {
	var known func(flag string) bool
	if words[0] == "savorystalld" {
		known = daemonFlags(t)
	} else {
		command := subcommand(words[1:])
		if command == nil {
			return "" // only flags, as in a table of flags
		}
		help, ok := helpText(command)
		if !ok {
			return "no such command"
		}
		known = func(flag string) bool { return regexp.MustCompile(flag + `[=\s\]]`).MatchString(help) }
	}
	for _, word := range words[1:] {
		if flag := flagName.FindString(word); flag != "" && !known(flag) {
			return "no flag " + flag
		}
	}
	return ""
}

// subcommand returns the words that select a command, skipping flags that precede
// them.
func subcommand(words []string) []string {
	for len(words) > 1 && strings.HasPrefix(words[0], "--") {
		words = words[2:]
	}
	if len(words) == 0 || strings.HasPrefix(words[0], "--") || words[0] == "COMMAND" {
		return nil
	}
	switch words[0] {
	case "service", "workspace", "target", "key":
		return words[:min(2, len(words))]
	}
	return words[:1]
}

func helpText(command []string) (text string, ok bool) {
	var output bytes.Buffer
	code := cli.Run(context.Background(), cli.Invocation{Args: append(append([]string{}, command...), "--help"), Stdout: &output, Stderr: &output})
	return output.String(), code == cli.ExitOK
}

func daemonFlags(t *testing.T) func(string) bool {
	t.Helper()
	source, err := os.ReadFile(filepath.Join(root, "cmd/savorystalld/main.go"))
	is.New(t).NoErr(err)
	flags := map[string]bool{"--help": true}
	for _, match := range daemonFlag.FindAllStringSubmatch(string(source), -1) {
		flags["--"+match[1]] = true
	}
	return func(flag string) bool { return flags[flag] }
}
