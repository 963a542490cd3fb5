package daemon

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The test guards against a daemon that refuses every request with "no usable target" for
// minutes. After an outage of the store, routes and targets are read at the same time. The
// goroutine that read the routes takes its snapshot before the targets are there, is
// descheduled on a busy VM, and installs it after the newer snapshot.
func TestOlderViewIsNotInstalledAfterNewerOne(t *testing.T) {
	is := is.New(t)
	var latest, installed atomic.Int64
	snapshotTaken, newerDone := make(chan struct{}), make(chan struct{})
	var firstTaken atomic.Bool
	stall := func() {
		close(snapshotTaken)
		select {
		case <-newerDone: // the newer view was installed first
		case <-time.After(50 * time.Millisecond): // the newer view waits for this one
		}
	}
	a := viewApplier[int64]{
		snapshot: func() int64 {
			seen := latest.Load()
			if !firstTaken.Swap(true) {
				stall()
			}
			return seen
		},
		install: installed.Store,
	}
	var applies sync.WaitGroup
	applies.Go(a.apply)
	<-snapshotTaken
	latest.Store(1)
	applies.Go(func() {
		a.apply()
		close(newerDone)
	})
	applies.Wait()
	is.Equal(installed.Load(), int64(1))
}
