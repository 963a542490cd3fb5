package main

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFitReturnsLineAndStandardError(t *testing.T) {
	is := is.New(t)
	exact := fit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	is.True(math.Abs(exact.slope-2) < 1e-9)
	is.True(math.Abs(exact.intercept-3) < 1e-9)
	is.True(exact.rms < 1e-9)
	is.True(math.Abs(exact.r2-1) < 1e-9)
	noisy := fit([]float64{1, 2, 3, 4}, []float64{5, 8, 8, 11})
	is.True(math.Abs(noisy.slope-1.8) < 1e-9)
	is.True(math.Abs(noisy.slopeStdErr-math.Sqrt(1.8/2/5)) < 1e-9)
}
