package daemon

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Runs short and long exchanges in which either side closes, resets or stalls at random
// moments. Each caller must get its own bytes, a correct failure or a visible disconnect,
// within bounded time.
func TestProxyWithRandomExchanges(t *testing.T) {
	const callers, exchanges, timeout = 24, 12, 4 * time.Second
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			is := is.New(t)
			before := runtime.NumGoroutine()
			var handled, local, complete, lost, broken, left atomic.Int64
			var seenIDs sync.Map
			serve := func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				handled.Add(1)
				if _, duplicate := seenIDs.LoadOrStore(r.Header.Get("Id"), true); duplicate {
					t.Error("request ran twice")
				}
				n, mode := 0, ""
				_, _ = fmt.Sscan(r.Header.Get("Ask"), &n, &mode)
				time.Sleep(time.Duration(len(body)%7) * time.Millisecond)
				if mode == "die" {
					panic(http.ErrAbortHandler)
				}
				text := strings.Repeat(r.Header.Get("Id")+".", n)
				if mode == "sized" {
					w.Header().Set("Content-Length", fmt.Sprint(len(text)))
				}
				half := len(text) / 2
				_, _ = io.WriteString(w, text[:half])
				if mode != "sized" {
					_ = http.NewResponseController(w).Flush()
				}
				if mode == "half" {
					panic(http.ErrAbortHandler)
				}
				if mode == "stall" {
					time.Sleep(200 * time.Millisecond)
				}
				_, _ = io.WriteString(w, text[half:])
			}
			n1, n2 := newTestNeighbour(t, serve), newTestNeighbour(t, serve)
			s := newOverloadedDaemon(t, n1.address, n2.address)
			s.handler.Store(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { local.Add(1); serve(w, r) }))
			var all sync.WaitGroup
			for c := range callers {
				rng := rand.New(rand.NewPCG(seed, uint64(c)))
				all.Go(func() {
					for i := range exchanges {
						id := fmt.Sprintf("s%dc%di%d", seed, c, i)
						mode := []string{"plain", "sized", "stall", "die", "half", "plain", "sized"}[rng.IntN(7)]
						count := 1 + rng.IntN(1<<rng.IntN(14))
						body := strings.Repeat("b", rng.IntN(1<<rng.IntN(18)))
						action := rng.IntN(6)
						startedAt := time.Now()
						conn, err := net.Dial("tcp", s.address)
						if err != nil {
							t.Error(err)
							return
						}
						_ = conn.SetDeadline(time.Now().Add(timeout))
						text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\nAsk: %d %s\r\nContent-Length: %d\r\n\r\n%s", id, count, mode, len(body), body)
						cut := rng.IntN(len(text))
						_, _ = io.WriteString(conn, text[:cut])
						if rng.IntN(2) == 0 {
							time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
						}
						if action <= 1 { // disconnects in the middle of its request
							if action == 0 {
								_ = conn.(*net.TCPConn).SetLinger(0)
							}
							_ = conn.Close()
							left.Add(1)
							continue
						}
						_, _ = io.WriteString(conn, text[cut:])
						if action == 2 { // disconnects at a random moment
							time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
							if rng.IntN(2) == 0 {
								_ = conn.(*net.TCPConn).SetLinger(0)
							}
							_ = conn.Close()
							left.Add(1)
							continue
						}
						w, err := http.ReadResponse(bufio.NewReader(conn), nil)
						switch {
						case err != nil:
							broken.Add(1)
							if mode != "die" && mode != "half" {
								t.Errorf("%s %s: %v", id, mode, err)
							}
						case w.StatusCode == 502:
							lost.Add(1)
							if mode != "die" && mode != "half" {
								t.Errorf("%s %s: 502", id, mode)
							}
						default:
							got, err := io.ReadAll(w.Body)
							want := strings.Repeat(id+".", count)
							switch {
							case err != nil && mode == "half":
								broken.Add(1)
							case err != nil:
								t.Errorf("%s %s: %v after %d of %d", id, mode, err, len(got), len(want))
							case string(got) != want:
								t.Errorf("%s %s: wrong bytes", id, mode)
							default:
								complete.Add(1)
							}
						}
						_ = conn.Close()
						if time.Since(startedAt) >= timeout {
							t.Errorf("%s %s took %v", id, mode, time.Since(startedAt))
						}
					}
				})
			}
			all.Wait()
			is.True(s.waitEnded(3 * time.Second))
			t.Log("handled", handled.Load(), "local", local.Load(), "whole", complete.Load(), "502", lost.Load(), "broken", broken.Load(), "left", left.Load(), "forwarded", s.forwarder.forwarded.Load())
			_ = s.server.Close()
			_ = n1.server.Close()
			_ = n2.server.Close()
			for end := time.Now().Add(3 * time.Second); runtime.NumGoroutine() > before+2 && time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
			}
			if n := runtime.NumGoroutine(); n > before+2 {
				b := make([]byte, 1<<16)
				t.Errorf("%d goroutines, %d before\n%s", n, before, b[:runtime.Stack(b, true)])
			}
		})
	}
}

// A caller that disconnected must not leave a proxy to a frozen neighbour running.
func TestProxyToFrozenNeighbourEndsWithCaller(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	s := newOverloadedDaemon(t, startScriptedNeighbour(t, func(conn net.Conn) { <-release; _ = conn.Close() }))
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	is.NoErr(conn.Close())
	is.True(s.waitEnded(6 * time.Second))
}

// Requests that are not forwarded while neighbours have capacity must not be shed
// afterwards.
func TestNothingIsShedWhileNeighboursHaveCapacity(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, newTestNeighbour(t, echo).address)
	s.monitor.shedPermille.Store(300)
	var refused atomic.Int64
	s.handler.Store(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if s.monitor.shouldShed(r.Context()) {
			refused.Add(1)
		}
	}))
	for range 400 {
		_, _, err := s.post("x")
		is.NoErr(err)
	}
	t.Log("refused", refused.Load(), "forwarded", s.forwarder.forwarded.Load(), "of 400")
	is.Equal(refused.Load(), int64(0))
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProxy compares the cost of a connection that is forwarded with one that is
// refused locally. The difference is the cost of the forwarding daemon.
func BenchmarkProxy(b *testing.B) {
	for _, size := range []int{0, 2400, 12000} {
		for _, forwarded := range []bool{false, true} {
			b.Run(fmt.Sprintf("body=%d/forwarded=%v", size, forwarded), func(b *testing.B) {
				t := &testing.T{}
				refuse := func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					w.WriteHeader(503)
					_, _ = w.Write([]byte("refused"))
				}
				s := newOverloadedDaemon(t, newTestNeighbour(t, refuse).address)
				s.handler.Store(http.HandlerFunc(withConnectionHeaders(time.Minute, func() bool { return false }, http.HandlerFunc(refuse)).ServeHTTP))
				if !forwarded {
					s.monitor.shedPermille.Store(0)
				}
				text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
				startCPU := cpuTime()
				for range b.N {
					conn, err := net.Dial("tcp", s.address)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.WriteString(conn, text)
					w, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, w.Body)
					_ = conn.Close()
				}
				b.ReportMetric(float64((cpuTime()-startCPU).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
