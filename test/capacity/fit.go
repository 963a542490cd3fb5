package main

import "math"

// linearFit is a least-squares fit y = intercept + slope*x.
type linearFit struct {
	intercept, slope float64
	// slopeStdErr is the standard error of slope, rms the root mean square of the
	// residuals, and r2 the coefficient of determination.
	slopeStdErr, rms, r2 float64
}

func fit(xs, ys []float64) linearFit {
	n := float64(len(xs))
	var sx, sy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
	}
	meanX, meanY := sx/n, sy/n
	var sxx, sxy, syy float64
	for i := range xs {
		sxx += (xs[i] - meanX) * (xs[i] - meanX)
		sxy += (xs[i] - meanX) * (ys[i] - meanY)
		syy += (ys[i] - meanY) * (ys[i] - meanY)
	}
	var l linearFit
	l.slope = sxy / sxx
	l.intercept = meanY - l.slope*meanX
	var residualSquares float64
	for i := range xs {
		residual := ys[i] - l.intercept - l.slope*xs[i]
		residualSquares += residual * residual
	}
	l.rms = math.Sqrt(residualSquares / n)
	l.slopeStdErr = math.Sqrt(residualSquares / max(n-2, 1) / sxx)
	if syy > 0 {
		l.r2 = 1 - residualSquares/syy
	}
	return l
}
