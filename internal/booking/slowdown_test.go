package booking

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// engineModel makes tokens between prefill chunks: step is the time of a token alone, chunk the
// additional time of a prefill chunk.
type engineModel struct{ step, chunk time.Duration }

// eventInterval is the mean time between tokens on an engine that spends the given fraction of
// its time on prefill.
func (m engineModel) eventInterval(prefillShare float64) time.Duration {
	rate := (1-prefillShare)/m.step.Seconds() + prefillShare/(m.step+m.chunk).Seconds()
	return time.Duration(float64(time.Second) / rate)
}

// Engines whose chunks take six times as long as a token step are kept busy with prefill: first
// tokens are in time, but answers of a few hundred tokens take 13 s, and any failure interrupts
// more of them. Engines whose chunks are as short as a step lose nothing by full use: with the
// same limit they would refuse requests while they are idle.
func TestPrefillLimitFollowsStreamSlowdown(t *testing.T) {
	for _, c := range []struct {
		name        string
		model       engineModel
		least, most float64
	}{
		{"slow chunks", engineModel{7 * time.Millisecond, 41 * time.Millisecond}, 0.38, 0.52},
		{"quick chunks", engineModel{7 * time.Millisecond, 7 * time.Millisecond}, 0.6, 0.73},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			var s decodeSlowdown
			for range 400 {
				prefillShare := rng.Float64()
				interval := float64(c.model.eventInterval(prefillShare)) * math.Exp(0.3*rng.NormFloat64())
				s.observe(prefillShare, time.Duration(interval))
			}
			limit := s.prefillShareLimit()
			t.Logf("the engine may spend %.2f of its time on prefill", limit)
			is.True(limit > c.least && limit < c.most)
		})
	}
}

// Without ended streams the prior is used, and a stream that stalled must not count.
func TestRatioWithoutSamplesIsThePrior(t *testing.T) {
	is := is.New(t)
	var s decodeSlowdown
	s.observe(0.9, 10*time.Second)
	is.Equal(s.ratio(), priorRatio)
}
