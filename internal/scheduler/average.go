package scheduler

// movingAverage is an exponentially weighted mean: each value has the weight
// averageWeight, but the first values count as in an arithmetic mean.
type movingAverage struct {
	value float64
	count int
}

// averageWeight makes a change visible after about fifty requests, which one daemon
// of the planned fleet processes within seconds.
const averageWeight = 0.02

func (a *movingAverage) add(x float64) {
	a.count++
	a.value += (x - a.value) * max(averageWeight, 1/float64(a.count))
}
