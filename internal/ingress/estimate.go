package ingress

import (
	"sync"

	"github.com/savorystall/savorystall/internal/ident"
)

// estimateKey identifies the operation whose costs are averaged.
type estimateKey struct {
	service   ident.Service
	operation string
}

// costEstimator keeps a moving average of the actual cost of each operation. An
// estimate only determines the charge at dispatch. The actual cost replaces it
// when the request ends, so that no workspace gains from a wrong estimate.
type costEstimator struct {
	mu    sync.Mutex
	means map[estimateKey]float64
}

// estimateWeight is the weight of the newest cost in the moving average. The
// average covers about the last twenty requests, which follows a change of
// workload within one burst.
const estimateWeight = 0.05

func newCostEstimator() *costEstimator {
	return &costEstimator{means: map[estimateKey]float64{}}
}

// mean returns the average cost of an operation, or fallback if none was observed.
func (e *costEstimator) mean(key estimateKey, fallback float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m, ok := e.means[key]; ok {
		return m
	}
	return fallback
}

func (e *costEstimator) observe(key estimateKey, cost float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.means[key]
	if !ok {
		m = cost
	}
	e.means[key] = m + estimateWeight*(cost-m)
}
