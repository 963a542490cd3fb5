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

// A new user types a command of a page, and the tool does not know it.
func TestCommandsOfThePagesExist(t *testing.T) {
	found := 0
	for page, text := range pages(t) {
		if strings.HasPrefix(page, "docs/design/") || page == "CHANGELOG.md" {
			continue
		}
		for _, line := range commandLines(text) {
			for _, words := range commandsIn(line) {
				found++
				if complaint := unknownPart(t, words); complaint != "" {
					t.Errorf("%s: %q: %s", page, strings.Join(words, " "), complaint)
				}
			}
		}
	}
	is.New(t).True(found > 60) // the patterns find the commands
}

// commandLines returns what a page shows as code: inline, and the lines of
// blocks without their comments and prompts.
func commandLines(text string) []string {
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

// commandsIn returns the calls of either program in a line of a shell.
func commandsIn(line string) [][]string {
	var calls [][]string
	for _, part := range strings.FieldsFunc(line, func(r rune) bool { return strings.ContainsRune("|&;<>()", r) }) {
		words := strings.Fields(part)
		if len(words) > 0 && words[0] == "do" {
			words = words[1:]
		}
		if len(words) > 1 && (words[0] == "savorystall" || words[0] == "savorystalld") {
			calls = append(calls, words)
		}
	}
	return calls
}

// unknownPart tells what of a call the program does not know.
func unknownPart(t *testing.T, words []string) string {
	var known func(flag string) bool
	if words[0] == "savorystalld" {
		known = daemonFlags(t)
	} else {
		command := subcommand(words[1:])
		if command == nil {
			return "" // flags alone, as in a table of them
		}
		help, ok := helpOf(command)
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

// subcommand returns the words that choose a command, past the flags that may
// stand before it.
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

func helpOf(command []string) (text string, ok bool) {
	var output bytes.Buffer
	code := cli.Run(context.Background(), cli.System{Arguments: append(append([]string{}, command...), "--help"), Output: &output, Errors: &output})
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
