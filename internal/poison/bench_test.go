package poison_test

import (
	"testing"

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
