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
	x := exchange{method: http.MethodPut, path: objectPath(name), body: body, contentType: "application/octet-stream"}
	a, err := c.objects.repeat(ctx, x)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusNoContent {
		return merry.Errorf("the platform refused object %s: status %d", name, a.status)
	}
	return nil
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	a, err := c.objects.repeat(ctx, exchange{method: http.MethodGet, path: objectPath(name)})
	if err != nil {
		return nil, err
	}
	if a.status == http.StatusNotFound {
		return nil, ErrAbsent
	}
	if a.status != http.StatusOK {
		return nil, merry.Errorf("the platform refused object %s: status %d", name, a.status)
	}
	return a.body, nil
}

// ListVMs implements VMs.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	a, err := c.vms.repeat(ctx, exchange{method: http.MethodGet, path: wire.PathVMs})
	if err != nil {
		return nil, err
	}
	var body wire.VMs
	if err := decodeAnswer(a, &body); err != nil {
		return nil, err
	}
	list := make([]VM, len(body.VMs))
	for i, vm := range body.VMs {
		list[i] = VM{Name: vm.Name, Zone: ident.Zone(vm.Zone), Address: vm.Address, Role: vm.Role, State: VMState(vm.State)}
	}
	return list, nil
}

// FetchWeights implements Weights. A repeated call is harmless: it asks for
// something to be ready.
func (c *Client) FetchWeights(ctx context.Context, name string) (time.Duration, error) {
	path := wire.PathWeights + url.PathEscape(name)
	a, err := c.weights.repeat(ctx, exchange{method: http.MethodPost, path: path})
	if err != nil {
		return 0, err
	}
	var body wire.Fetch
	if err := decodeAnswer(a, &body); err != nil {
		return 0, err
	}
	return time.Duration(body.WaitMillis) * time.Millisecond, nil
}
