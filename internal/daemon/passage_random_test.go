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

// Short and long exchanges of which either side closes, resets or stalls at drawn moments:
// each caller gets its own bytes, a truthful failure or a visible break, in bounded time.
func TestPassagesOfDrawnExchanges(t *testing.T) {
	const callers, each, bound = 24, 12, 4 * time.Second
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			is := is.New(t)
			before := runtime.NumGoroutine()
			var handled, local, whole, lost, broke, left atomic.Int64
			var runs sync.Map
			serve := func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				handled.Add(1)
				if _, again := runs.LoadOrStore(r.Header.Get("Id"), true); again {
					t.Error("ran twice")
				}
				n, how := 0, ""
				_, _ = fmt.Sscan(r.Header.Get("Ask"), &n, &how)
				time.Sleep(time.Duration(len(body)%7) * time.Millisecond)
				if how == "die" {
					panic(http.ErrAbortHandler)
				}
				text := strings.Repeat(r.Header.Get("Id")+".", n)
				if how == "sized" {
					w.Header().Set("Content-Length", fmt.Sprint(len(text)))
				}
				half := len(text) / 2
				_, _ = io.WriteString(w, text[:half])
				if how != "sized" {
					_ = http.NewResponseController(w).Flush()
				}
				if how == "half" {
					panic(http.ErrAbortHandler)
				}
				if how == "stall" {
					time.Sleep(200 * time.Millisecond)
				}
				_, _ = io.WriteString(w, text[half:])
			}
			n1, n2 := newNeighbour(t, serve), newNeighbour(t, serve)
			s := newStarved(t, n1.address, n2.address)
			s.handler.Store(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { local.Add(1); serve(w, r) }))
			var all sync.WaitGroup
			for c := range callers {
				rng := rand.New(rand.NewPCG(seed, uint64(c)))
				all.Go(func() {
					for i := range each {
						id := fmt.Sprintf("s%dc%di%d", seed, c, i)
						how := []string{"plain", "sized", "stall", "die", "half", "plain", "sized"}[rng.IntN(7)]
						count := 1 + rng.IntN(1<<rng.IntN(14))
						body := strings.Repeat("b", rng.IntN(1<<rng.IntN(18)))
						act := rng.IntN(6)
						began := time.Now()
						conn, err := net.Dial("tcp", s.address)
						if err != nil {
							t.Error(err)
							return
						}
						_ = conn.SetDeadline(time.Now().Add(bound))
						text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\nAsk: %d %s\r\nContent-Length: %d\r\n\r\n%s", id, count, how, len(body), body)
						at := rng.IntN(len(text))
						_, _ = io.WriteString(conn, text[:at])
						if rng.IntN(2) == 0 {
							time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
						}
						if act <= 1 { // leaves in the midst of its request
							if act == 0 {
								_ = conn.(*net.TCPConn).SetLinger(0)
							}
							_ = conn.Close()
							left.Add(1)
							continue
						}
						_, _ = io.WriteString(conn, text[at:])
						if act == 2 { // leaves at a drawn moment
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
							broke.Add(1)
							if how != "die" && how != "half" {
								t.Errorf("%s %s: %v", id, how, err)
							}
						case w.StatusCode == 502:
							lost.Add(1)
							if how != "die" && how != "half" {
								t.Errorf("%s %s: 502", id, how)
							}
						default:
							got, err := io.ReadAll(w.Body)
							want := strings.Repeat(id+".", count)
							switch {
							case err != nil && how == "half":
								broke.Add(1)
							case err != nil:
								t.Errorf("%s %s: %v after %d of %d", id, how, err, len(got), len(want))
							case string(got) != want:
								t.Errorf("%s %s: wrong bytes", id, how)
							default:
								whole.Add(1)
							}
						}
						_ = conn.Close()
						if time.Since(began) >= bound {
							t.Errorf("%s %s took %v", id, how, time.Since(began))
						}
					}
				})
			}
			all.Wait()
			is.True(s.ends(3 * time.Second))
			t.Log("handled", handled.Load(), "local", local.Load(), "whole", whole.Load(), "502", lost.Load(), "broke", broke.Load(), "left", left.Load(), "passed", s.handovers.passed.Load())
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

// A caller that left must not hold a passage to a neighbour that stands still.
func TestAPassageToANeighbourThatStandsStillEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	s := newStarved(t, script(t, func(conn net.Conn) { <-held; _ = conn.Close() }))
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	is.NoErr(conn.Close())
	is.True(s.ends(6 * time.Second))
}

// What is not passed on while neighbours have room must not be refused a second time.
func TestWhatNeighboursHaveRoomForIsNotRefused(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, newNeighbour(t, echo).address)
	s.load.shed.Store(300)
	var refused atomic.Int64
	s.handler.Store(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if s.load.sheds(r.Context()) {
			refused.Add(1)
		}
	}))
	for range 400 {
		_, _, err := s.post("x")
		is.NoErr(err)
	}
	t.Log("refused", refused.Load(), "passed", s.handovers.passed.Load(), "of 400")
	is.Equal(refused.Load(), int64(0))
}

// usage is the processor time of this process.
func usage() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPassage shows what a connection costs that is passed on, beside one that is served here
// and refused: the difference is the front's.
func BenchmarkPassage(b *testing.B) {
	for _, size := range []int{0, 2400, 12000} {
		for _, hop := range []bool{false, true} {
			b.Run(fmt.Sprintf("body=%d/hop=%v", size, hop), func(b *testing.B) {
				t := &testing.T{}
				refuse := func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					w.WriteHeader(503)
					_, _ = w.Write([]byte("refused"))
				}
				s := newStarved(t, newNeighbour(t, refuse).address)
				s.handler.Store(http.HandlerFunc(keeping(time.Minute, func() bool { return false }, http.HandlerFunc(refuse)).ServeHTTP))
				if !hop {
					s.load.shed.Store(0)
				}
				text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
				began := usage()
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
				b.ReportMetric(float64((usage()-began).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
