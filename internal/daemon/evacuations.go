package daemon

import (
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/evacuation"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/telemetry"
	"github.com/savorystall/savorystall/platform"
)

var errUnknownZone = merry.Sentinel("the settings name no such availability zone")

// evacuations keeps up with the rows by which the operator evacuates availability zones. It is safe
// for concurrent use.
type evacuations struct {
	// regions are the known zones, with their regions; if it is empty, any zone may be evacuated.
	regions map[ident.Zone]ident.Region
	metrics *telemetry.Metrics
	log     *slog.Logger

	mu    sync.Mutex
	state *evacuation.State
}

func newEvacuations(regions map[ident.Zone]ident.Region, metrics *telemetry.Metrics, log *slog.Logger) *evacuations {
	return &evacuations{regions: regions, metrics: metrics, log: log, state: evacuation.NewState()}
}

// zones returns the evacuated zones.
func (e *evacuations) zones() evacuation.Zones {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Zones()
}

// applyRow applies a changed row, and reports whether it has changed what is evacuated.
func (e *evacuations) applyRow(now time.Time, row store.FeedRow) bool {
	zone, ok := platform.EvacuatedZone(row.Key)
	if !ok || !row.Deleted && !e.accept(zone, row) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if row.Deleted {
		return e.logEnded(e.state.End(now, zone), zone)
	}
	return e.logBegun(e.state.Begin(now, zone), zone)
}

// replace applies all rows of the operator's table, and reports whether they have changed what is
// evacuated. A zone stays evacuated while its row is there, even if that cannot be read any more.
func (e *evacuations) replace(now time.Time, rows []store.FeedRow) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var listed []ident.Zone
	for _, row := range rows {
		zone, ok := platform.EvacuatedZone(row.Key)
		if ok && (e.accept(zone, row) || e.state.Zones().Contains(zone)) {
			listed = append(listed, zone)
		}
	}
	begun, ended := e.state.Replace(now, listed)
	for _, zone := range begun {
		e.logBegun(true, zone)
	}
	for _, zone := range ended {
		e.logEnded(true, zone)
	}
	return len(begun)+len(ended) > 0
}

// accept reports whether a row evacuates a zone, and logs why not.
func (e *evacuations) accept(zone ident.Zone, row store.FeedRow) bool {
	err := platform.CheckEvacuation(row.Value)
	if _, known := e.regions[zone]; !known && len(e.regions) > 0 {
		err = errUnknownZone
	}
	if err != nil {
		event.EvacuationUnreadable.Log(e.log, "key", row.Key, "revision", row.Revision, "error", err)
	}
	return err == nil
}

// storeRestored records that the store was restored from a backup.
func (e *evacuations) storeRestored(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.StoreRestored(now)
}

// expire ends the evacuations that a restored store has not confirmed. It reports whether there were
// any, and when the next one is due; zero if none is.
func (e *evacuations) expire(now time.Time) (changed bool, next time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended, next := e.state.Expire(now)
	for _, zone := range ended {
		e.logEnded(true, zone)
	}
	return len(ended) > 0, next
}

func (e *evacuations) logBegun(changed bool, zone ident.Zone) bool {
	if changed {
		event.ZoneEvacuated.Log(e.log, "zone", zone)
		e.metrics.Evacuation(zone, true)
	}
	return changed
}

func (e *evacuations) logEnded(changed bool, zone ident.Zone) bool {
	if changed {
		event.ZoneReturned.Log(e.log, "zone", zone)
		e.metrics.Evacuation(zone, false)
	}
	return changed
}
