package attempt_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	"github.com/savorystall/savorystall/test/faultlink"
)

// An engine has more cache events than fit into one response. Several polls must
// return all of them in order and none twice. After the engine restarts, a
// sequence number of its previous run must not hide the events of the new one.
func TestCacheEventsAreReadInPages(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, shortTimeouts())
	cfg := enginestandin.Config{CacheEntries: 200, CacheEventDelay: time.Nanosecond, CacheEventDropInterval: -1}
	e, engine := newEngine(t, cfg)
	const prompts = 100
	for i := range prompts {
		e.CachePrompt(fmt.Sprint("case ", i))
	}
	var after uint64
	for after < prompts {
		page, err := r.CacheEvents(t.Context(), engine, after)
		is.NoErr(err)
		is.True(len(page.Events) > 0 && len(page.Events) <= attempt.MaxCachePageEvents)
		for _, event := range page.Events {
			after++
			is.Equal(event.Sequence, after)
			is.Equal(event.Prefix, enginestandin.PrefixID(fmt.Sprint("case ", after-1)))
			is.True(event.Stored)
		}
		is.Equal(page.Next, after)
		is.Equal(page.More, len(page.Events) == attempt.MaxCachePageEvents)
	}
	empty, err := r.CacheEvents(t.Context(), engine, after)
	is.NoErr(err)
	is.Equal(len(empty.Events), 0)

	restarted, engine := newEngine(t, cfg)
	restarted.CachePrompt("case 7")
	page, err := r.CacheEvents(t.Context(), engine, after)
	is.NoErr(err)
	is.True(page.Run != empty.Run)
	is.Equal(page.Next, uint64(1))
}

func TestCacheEventsErrors(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, shortTimeouts())
	_, err := r.CacheEvents(t.Context(), serve(t, http.NotFoundHandler(), func() {}), 0)
	is.True(errors.Is(err, attempt.ErrCacheEventsUnsupported))
	for _, body := range []string{"", "no JSON", `{"events":[{"seq":1,"kind":"stored","prefix":"xyz"}]}`} {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
		_, err := r.CacheEvents(t.Context(), serve(t, handler, func() {}), 0)
		is.True(err != nil)
		is.True(!errors.Is(err, attempt.ErrCacheEventsUnsupported))
	}
	_, err = r.CacheEvents(t.Context(), faultlink.FreeAddress(t), 0)
	is.True(err != nil)
}

// BenchmarkCacheEvents measures a poll that returns a full page, including the
// work of the stand-in engine.
func BenchmarkCacheEvents(b *testing.B) {
	e := enginestandin.New(enginestandin.Config{CacheEntries: 200, CacheEventDelay: time.Nanosecond, CacheEventDropInterval: -1})
	defer e.Close()
	s := httptest.NewServer(e)
	defer s.Close()
	for i := range attempt.MaxCachePageEvents {
		e.CachePrompt(fmt.Sprint("case ", i))
	}
	r := attempt.NewRunner(attempt.Config{})
	defer r.Close()
	for b.Loop() {
		if _, err := r.CacheEvents(b.Context(), s.Listener.Addr().String(), 0); err != nil {
			b.Fatal(err)
		}
	}
}
