package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/poison"
)

// BenchmarkFilter is what each request that runs to its end costs.
func BenchmarkFilter(b *testing.B) {
	body := make([]byte, 12_000)
	for b.Loop() {
		poison.NewFilter("club", "POST", "h.example", "/x", body)
	}
}

// BenchmarkFingerprint is what a request costs that breaks off or is suspected.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 12_000)
	for b.Loop() {
		poison.NewFingerprint("club", "POST", "h.example", "/x", body)
	}
}

// BenchmarkRecentWithParts is what the parts of a prompt add to that.
func BenchmarkRecentWithParts(b *testing.B) {
	r, now := poison.NewRecent(), time.Now()
	for b.Loop() {
		filters := make([]poison.Filter, 3)
		for i := range filters {
			filters[i] = poison.NewPartFilter("club", poison.Part{Service: "pool", ID: uint64(i)})
		}
		r.Add(now, 1, filters...)
	}
}

// BenchmarkHeldParts is what a request costs while parts are held back.
func BenchmarkHeldParts(b *testing.B) {
	n := newNetwork(1)
	for range 3 {
		n.crashParts("d0", fatalPart)
	}
	for b.Loop() {
		n.tables["d0"].HeldParts(simWorkspace, simService, poison.NewPartSet(1, 2, 3))
	}
}

// BenchmarkCrashOfNewParts is what a request costs that broke off at a target which ended, where all
// parts of its prompt are new and the tables are full.
func BenchmarkCrashOfNewParts(b *testing.B) {
	c := poison.New("d", poison.NewRecent())
	next := uint64(0)
	crash := func() {
		var ids []uint64
		for range 16 {
			next++
			ids = append(ids, next)
		}
		process := poison.Process{Target: "t", StartedAtMillis: int64(next) / 1000}
		c.Crashed(start, poison.Run{Request: subject(fmt.Sprint(next)), Parts: promptParts(ids...), Process: process, Early: true})
		c.TakeEffects()
	}
	for range 500 {
		crash()
	}
	for b.Loop() {
		crash()
	}
}
