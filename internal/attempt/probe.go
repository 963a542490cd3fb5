package attempt

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
)

const (
	statusPath     = "/status"
	maxStatusBytes = 64 << 10
)

// TargetStatus is what a target says of itself. Running and StepMS lag.
type TargetStatus struct {
	Leaving bool     `json:"leaving"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	StepMS  float64  `json:"step_ms"`
	Models  []string `json:"models"`
	// HTTP is the status of the answer.
	HTTP int `json:"-"`
}

// Probe asks a target on a new connection whether it lives and whether it is
// leaving. The error is that of a target that gave no answer. A plain service
// without a status page just says nothing more. It takes at most ConnectTimeout
// and FirstByte.
func (r *Runner) Probe(ctx context.Context, address string) (TargetStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ConnectTimeout+r.cfg.FirstByte)
	defer cancel()
	u := &url.URL{Scheme: "http", Host: address, Path: statusPath}
	resp, err := r.fresh.RoundTrip(newRequest(ctx, http.MethodGet, u, requestHeader(ctx, nil), nil))
	if err != nil {
		return TargetStatus{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var status TargetStatus
	if resp.StatusCode == http.StatusOK {
		// A page that is not of this protocol says nothing.
		_ = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status)
	}
	status.HTTP = resp.StatusCode
	return status, nil
}
