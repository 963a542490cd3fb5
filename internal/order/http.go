package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/responsehead"
)

const (
	ordersPath = "/orders"
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 1 << 20
)

// HTTPClient is a TargetClient that implements the orders part of the engine
// protocol.
type HTTPClient struct {
	client *http.Client
}

var _ TargetClient = (*HTTPClient)(nil)

// NewHTTPClient returns an HTTPClient with its own connections. Connections are
// not reused: orders are rare, and an idle connection may have been dropped
// silently.
func NewHTTPClient() *HTTPClient {
	return &HTTPClient{client: &http.Client{
		Transport: responsehead.NewTransport(&http.Transport{DisableKeepAlives: true}),
		// The protocol has no redirects; following one would send an order to
		// another target.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Read implements TargetClient.
func (h *HTTPClient) Read(ctx context.Context, address string) (Order, error) {
	var current Order
	status, err := h.do(ctx, http.MethodGet, address, nil, &current)
	if err == nil && status != http.StatusOK {
		err = merry.Errorf("read orders of %s: unexpected status %d", address, status)
	}
	return current, err
}

// Send implements TargetClient.
func (h *HTTPClient) Send(ctx context.Context, address string, o Order) error {
	// Encode a nil list as an empty one, so that targets need not handle null.
	o.Models = append([]string{}, o.Models...)
	o.Adapters = append([]string{}, o.Adapters...)
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	var current Order
	status, err := h.do(ctx, http.MethodPost, address, body, &current)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return &StaleFencingError{Current: current}
	case status != http.StatusOK:
		return merry.Errorf("send order to %s: unexpected status %d", address, status)
	}
	return nil
}

func (h *HTTPClient) do(ctx context.Context, method, address string, body []byte, out *Order) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+ordersPath, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := h.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusConflict {
		return res.StatusCode, nil
	}
	return res.StatusCode, merry.Prependf(json.Unmarshal(text, out), "parse response of %s", address)
}
