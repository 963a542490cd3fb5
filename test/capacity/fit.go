package main

import "math"

// line is a least-squares fit y = fixed + slope*x.
type line struct {
	fixed, slope float64
	// slopeError is the standard error of slope, rms the root of the mean
	// square of the residuals, r2 the coefficient of determination.
	slopeError, rms, r2 float64
}

func fit(xs, ys []float64) line {
	n := float64(len(xs))
	var sx, sy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
	}
	mx, my := sx/n, sy/n
	var sxx, sxy, syy float64
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
		syy += (ys[i] - my) * (ys[i] - my)
	}
	var l line
	l.slope = sxy / sxx
	l.fixed = my - l.slope*mx
	var residual float64
	for i := range xs {
		d := ys[i] - l.fixed - l.slope*xs[i]
		residual += d * d
	}
	l.rms = math.Sqrt(residual / n)
	l.slopeError = math.Sqrt(residual / max(n-2, 1) / sxx)
	if syy > 0 {
		l.r2 = 1 - residual/syy
	}
	return l
}
