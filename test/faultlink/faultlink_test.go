package faultlink_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/test/faultlink"
)

// A link could not be restored after a cut: its port was in the ephemeral port
// range and meanwhile used by an outgoing connection of another package's test. So
// no address may be in that range, and none may be returned twice.
func TestFreeAddressesAreOutsideEphemeralPortRange(t *testing.T) {
	is := is.New(t)
	var first, last int
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	is.NoErr(err)
	_, err = fmt.Sscan(string(text), &first, &last)
	is.NoErr(err)
	seen := map[string]bool{}
	for range 250 { // more than two blocks
		address := faultlink.FreeAddress(t)
		is.True(!seen[address])
		seen[address] = true
		a, err := net.ResolveTCPAddr("tcp", address)
		is.NoErr(err)
		is.True(a.Port < first || a.Port > last)
	}
}

// A link is cut while other connections are continually opened, and is then
// restored on the same address, twice in a row.
func TestRestoredLinkKeepsItsAddress(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "here") }))
	t.Cleanup(s.Close)
	link := faultlink.New(t, s.Listener.Addr().String())
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(address string) string {
		resp, err := client.Get("http://" + address)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	for range 2 {
		is.Equal(get(link.Address), "here")
		link.Cut()
		for range 50 {
			is.Equal(get(s.Listener.Addr().String()), "here")
		}
		is.True(get(link.Address) != "here")
		is.NoErr(link.Restore())
	}
	is.Equal(get(link.Address), "here")
}
