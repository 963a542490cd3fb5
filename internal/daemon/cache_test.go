package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The daemon that owns the engines must poll each of them for cache events repeatedly.
func TestCacheEventsArePolled(t *testing.T) {
	is := is.New(t)
	site, _ := startDev(t)
	deadline := time.Now().Add(20 * time.Second)
	for name, engine := range site.Engines {
		for engine.CachePolls() < 2 && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(engine.CachePolls() >= 2)
		is.Equal(string(name.Service), "lm-pool")
	}
}
