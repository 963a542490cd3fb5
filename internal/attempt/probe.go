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

// TargetStatus is the status that a target reports. Running and StepMS lag behind
// the current values.
type TargetStatus struct {
	Leaving bool     `json:"leaving"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	StepMS  float64  `json:"step_ms"`
	Models  []string `json:"models"`
	// HTTPStatus is the HTTP status of the response.
	HTTPStatus int `json:"-"`
}

// Probe requests the status of a target on a new connection, to find out whether
// the target is reachable and whether it is leaving. It returns an error if there
// is no response. For a plain service without a status page, only HTTPStatus is
// set. Probe takes at most ConnectTimeout plus FirstByteTimeout.
func (r *Runner) Probe(ctx context.Context, address string) (TargetStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ConnectTimeout+r.cfg.FirstByteTimeout)
	defer cancel()
	u := &url.URL{Scheme: "http", Host: address, Path: statusPath}
	resp, err := r.unpooled.RoundTrip(newRequest(ctx, http.MethodGet, u, requestHeader(ctx, nil), nil))
	if err != nil {
		return TargetStatus{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var status TargetStatus
	if resp.StatusCode == http.StatusOK {
		// A response that does not follow this protocol is ignored.
		_ = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status)
	}
	status.HTTPStatus = resp.StatusCode
	return status, nil
}
