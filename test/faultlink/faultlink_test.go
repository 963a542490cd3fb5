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

// A link was cut and could not be restored: its port was one that the system
// hands out to outgoing connections, and during the cut a test of another
// package got it. So no address may come from that range, and none twice.
func TestFreeAddressesAreNotTheSystemsToHandOut(t *testing.T) {
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

// A link is cut while new connections are made all the time, and comes back at
// the same address; twice in a row.
func TestCutLinkComesBackAtItsAddress(t *testing.T) {
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
