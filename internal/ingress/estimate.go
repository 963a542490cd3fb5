package ingress

import (
	"sync"

	"github.com/savorystall/savorystall/internal/ident"
)

// estimateKey is the grain at which costs are remembered.
type estimateKey struct {
	service   ident.Service
	operation string
}

// estimates remembers the mean true cost of each operation. An estimate only
// decides what is charged at dispatch; the true cost corrects it at the end, so
// a false one gains nobody anything.
type estimates struct {
	mu    sync.Mutex
	means map[estimateKey]float64
}

// estimateGain is the weight of the newest cost: about the last twenty requests
// count, which follows a change of workload within one burst.
const estimateGain = 0.05

func newEstimates() *estimates {
	return &estimates{means: map[estimateKey]float64{}}
}

// mean returns the remembered mean, or otherwise the fallback.
func (e *estimates) mean(key estimateKey, fallback float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m, ok := e.means[key]; ok {
		return m
	}
	return fallback
}

func (e *estimates) observe(key estimateKey, cost float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.means[key]
	if !ok {
		m = cost
	}
	e.means[key] = m + estimateGain*(cost-m)
}
