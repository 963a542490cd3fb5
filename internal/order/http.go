package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
)

const (
	ordersPath = "/orders"
	// maxAnswer bounds the body of an answer in bytes.
	maxAnswer = 1 << 20
)

// HTTP speaks the orders part of the engine protocol.
type HTTP struct {
	client *http.Client
}

var _ Orderer = (*HTTP)(nil)

// NewHTTP returns an HTTP with connections of its own. Connections are not
// kept: orders are rare, and an idle connection may have gone silent.
func NewHTTP() *HTTP {
	return &HTTP{client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		// The protocol has no redirects; one would send an order elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Read implements Orderer.
func (h *HTTP) Read(ctx context.Context, address string) (Order, error) {
	var present Order
	status, err := h.exchange(ctx, http.MethodGet, address, nil, &present)
	if err == nil && status != http.StatusOK {
		err = merry.Errorf("orders of %s: status %d", address, status)
	}
	return present, err
}

// Give implements Orderer.
func (h *HTTP) Give(ctx context.Context, address string, o Order) error {
	// A target must not have to tell null from an empty list.
	o.Models = append([]string{}, o.Models...)
	o.Adapters = append([]string{}, o.Adapters...)
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	var present Order
	status, err := h.exchange(ctx, http.MethodPost, address, body, &present)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return &Refused{Present: present}
	case status != http.StatusOK:
		return merry.Errorf("order to %s: status %d", address, status)
	}
	return nil
}

func (h *HTTP) exchange(ctx context.Context, method, address string, body []byte, into *Order) (int, error) {
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
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusConflict {
		return res.StatusCode, nil
	}
	return res.StatusCode, merry.Prependf(json.Unmarshal(text, into), "answer of %s", address)
}
