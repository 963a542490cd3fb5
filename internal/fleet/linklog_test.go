package fleet

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against a start of hundreds of daemons that fills the log with a line for each of
// tens of thousands of links.
func TestManyLinksShareALogLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := &linkLog{log: slog.New(slog.NewJSONHandler(&out, nil))}
	now := time.Unix(1000, 0)
	for i := range 294 {
		now = now.Add(time.Millisecond)
		l.linkUp(now, ident.Daemon(fmt.Sprint(i)), 1, "z", i+1)
	}
	l.linkDown(now, "7", 293)
	l.summarize(now.Add(linkLogInterval), 293)
	l.summarize(now.Add(2*linkLogInterval), 293)
	is.Equal(strings.Count(out.String(), "\n"), maxLinkLines+1)
	is.True(strings.Contains(out.String(), `"up":286,"down":1,"links":293`))
	l.linkDown(now.Add(3*linkLogInterval), "8", 292) // a single one has its own line again
	is.True(strings.Contains(out.String(), `"event":602,"peer":"8"`))
}
