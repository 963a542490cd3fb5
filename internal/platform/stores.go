package platform

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform/wire"
)

func objectPath(name string) string { return wire.PathObjects + url.PathEscape(name) }

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	req := httpRequest{method: http.MethodPut, path: objectPath(name), body: body, contentType: "application/octet-stream"}
	resp, err := c.objects.callIdempotent(ctx, req)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK && resp.status != http.StatusNoContent {
		return merry.Errorf("the platform refused object %s: status %d", name, resp.status)
	}
	return nil
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.objects.callIdempotent(ctx, httpRequest{method: http.MethodGet, path: objectPath(name)})
	if err != nil {
		return nil, err
	}
	if resp.status == http.StatusNotFound {
		return nil, ErrObjectNotFound
	}
	if resp.status != http.StatusOK {
		return nil, merry.Errorf("the platform refused object %s: status %d", name, resp.status)
	}
	return resp.body, nil
}

// ListVMs implements VMs.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	resp, err := c.vms.callIdempotent(ctx, httpRequest{method: http.MethodGet, path: wire.PathVMs})
	if err != nil {
		return nil, err
	}
	var body wire.VMs
	if err := decodeResponse(resp, &body); err != nil {
		return nil, err
	}
	list := make([]VM, len(body.VMs))
	for i, vm := range body.VMs {
		list[i] = VM{Name: vm.Name, Zone: ident.Zone(vm.Zone), Address: vm.Address, Role: vm.Role, State: VMState(vm.State)}
	}
	return list, nil
}

// FetchWeights implements Weights. Retries are safe, since preparing weights is
// idempotent.
func (c *Client) FetchWeights(ctx context.Context, name string) (time.Duration, error) {
	path := wire.PathWeights + url.PathEscape(name)
	resp, err := c.weights.callIdempotent(ctx, httpRequest{method: http.MethodPost, path: path})
	if err != nil {
		return 0, err
	}
	var body wire.FetchReply
	if err := decodeResponse(resp, &body); err != nil {
		return 0, err
	}
	return time.Duration(body.WaitMillis) * time.Millisecond, nil
}
