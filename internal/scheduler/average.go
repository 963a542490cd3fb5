package scheduler

// average is a mean that forgets: each value counts averageStep, and the first
// ones count as in a plain mean.
type average struct {
	value float64
	count int
}

// averageStep lets a change show after some fifty requests, which one daemon of
// the planned fleet sees within seconds.
const averageStep = 0.02

func (a *average) add(x float64) {
	a.count++
	a.value += (x - a.value) * max(averageStep, 1/float64(a.count))
}
