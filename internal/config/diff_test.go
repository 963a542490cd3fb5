package config_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/config"
)

func TestDiff(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"equal": {"a\n", "a\n", ""},
		"one line": {"a\nb\nc\n", "a\nB\nc\n",
			"--- s revision 1\n+++ s revision 2\n@@ -1,3 +1,3 @@\n a\n-b\n+B\n c\n"},
		"all new": {"", "a\n", "--- s revision 1\n+++ s revision 2\n@@ -0,0 +1,1 @@\n+a\n"},
		"two places": {"1\n2\n3\n4\n5\n6\n7\n8\n9\n", "x\n2\n3\n4\n5\n6\n7\n8\ny\n",
			"--- s revision 1\n+++ s revision 2\n@@ -1,4 +1,4 @@\n-1\n+x\n 2\n 3\n 4\n@@ -6,4 +6,4 @@\n 6\n 7\n 8\n-9\n+y\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			from := config.Record{Service: "s", Revision: 1, Text: c.from}
			to := config.Record{Service: "s", Revision: 2, Text: c.to}
			is.New(t).Equal(config.Diff(from, to), c.want)
		})
	}
}
