package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

func sampleBookings() booking.Message {
	return booking.Message{
		Reservations: []booking.Reservation{
			{ID: 7, Service: "pool", Target: "e1", Workspace: "club", Prompt: 6000, Output: 300,
				Parts: []booking.PromptPart{{ID: 0xabcdef01, Tokens: 500}, {ID: 2, Tokens: 5500}}, Remaining: 250 * time.Millisecond, Late: true, FirstContact: true,
				CachedHint: 500, CachedElsewhere: 450, MayWait: true},
			{ID: 8, Service: "app", Target: "a1", Workspace: "club", Remaining: -time.Second, Running: true, PrefillDone: true, PreviouslyPlaced: true},
		},
		Replies:    []booking.Reply{{ID: 3, OK: true, Wait: 70 * time.Millisecond, CachedTokens: 500, Hold: 45 * time.Millisecond}, {ID: 4, CallerRetry: true, Limit: booking.LimitSpare, ShareUsed: 1.25, SlotWait: 180 * time.Millisecond, ExpectedSpareWait: 2 * time.Second}},
		FirstBytes: []booking.FirstByteNotice{{ID: 3, Elapsed: 71 * time.Millisecond}},
		Releases:   []booking.Release{{ID: 3, Elapsed: time.Second, Failed: true, EventInterval: 20 * time.Millisecond}, {ID: 5, NotRun: true}},
		Scope:      booking.ScopeZone,
		Usage:      []booking.Usage{{Service: "pool", Workspace: "club", Asked: 12345, Shed: 2345, Granted: 6789}},
		Loads:      []booking.Load{{Service: "pool", Target: "e1", Wait: 20 * time.Millisecond, SlotUtilization: 0.5, FailureRate: 0.125, Utilization: 1.25, Speed: 2.358}},
		Ready:      []uint64{3, 9},
	}
}

func TestBookingsRoundTrip(t *testing.T) {
	is := is.New(t)
	enc, dec := newEncoder(), &decoder{}
	for range 2 { // the second frame uses the names sent in the first
		f := &fleetv1.Frame{}
		enc.encode(f, &scheduler.Message{Bookings: sampleBookings()})
		m, ok, err := dec.decode(f)
		is.NoErr(err)
		is.True(ok)
		is.Equal(m.Bookings, sampleBookings())
	}
}

// A frame from another version or a faulty sender refers to undefined indexes.
// Decoding must return an error, so that the link is replaced, and must not
// panic.
func TestInvalidBookingsAreRejected(t *testing.T) {
	for _, b := range []*fleetv1.Bookings{
		{Asks: []*fleetv1.BookingAsk{{Target: 9}}},
		{Usage: []*fleetv1.BookingUsage{{Workspace: 9}}},
		{Loads: []*fleetv1.BookingLoad{{Target: 9}}},
	} {
		if _, _, err := (&decoder{}).decode(&fleetv1.Frame{Bookings: b}); err == nil {
			t.Errorf("%v: no error", b)
		}
	}
	f := &fleetv1.Frame{Names: []string{"s", "t"}, Pairs: &fleetv1.Pairs{Service: []uint32{0}, Name: []uint32{1}}}
	f.Bookings = &fleetv1.Bookings{Asks: []*fleetv1.BookingAsk{{Parts: []uint64{1}}}}
	if _, _, err := (&decoder{}).decode(f); err == nil {
		t.Error("prompt part without token count: no error")
	}
}

// The outbox keeps only the newest usage and load of a workspace or target, but
// every reservation and release.
func TestOutboxMergesBookings(t *testing.T) {
	is := is.New(t)
	o := newOutbox(100)
	for i := range 3 {
		m := sampleBookings()
		m.Usage[0].Asked = float64(i)
		is.True(o.enqueue(&scheduler.Message{Bookings: m}))
	}
	b, ok := o.take()
	is.True(ok)
	is.Equal(len(b.message.Bookings.Reservations), 6)
	is.Equal(len(b.message.Bookings.Releases), 6)
	is.Equal(len(b.message.Bookings.Usage), 1)
	is.Equal(b.message.Bookings.Usage[0].Asked, 2.0)
	is.Equal(len(b.message.Bookings.Loads), 1)
}

// BenchmarkBookingBytes reports the bytes of frames, without HTTP/2 and IP: for
// a request (its reservation, reply, first byte and release), and for a usage
// report with various numbers of workspaces and four targets.
func BenchmarkBookingBytes(b *testing.B) {
	size := func(m booking.Message) float64 {
		enc := newEncoder()
		f := &fleetv1.Frame{}
		enc.encode(f, &scheduler.Message{Bookings: m})
		f = &fleetv1.Frame{}
		enc.encode(f, &scheduler.Message{Bookings: m})
		return float64(proto.Size(f))
	}
	sample := sampleBookings()
	b.Run("request", func(b *testing.B) {
		for b.Loop() {
			size(sample)
		}
		b.ReportMetric(size(booking.Message{Reservations: sample.Reservations[:1]})+size(booking.Message{Replies: sample.Replies[:1]})+
			size(booking.Message{FirstBytes: sample.FirstBytes})+size(booking.Message{Releases: sample.Releases[:1]}), "B/request")
	})
	for _, n := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			var m booking.Message
			for i := range n {
				m.Usage = append(m.Usage, booking.Usage{Service: "pool", Workspace: ident.Workspace(fmt.Sprint("w", i)), Asked: 150000, Granted: 90000})
			}
			for i := range 4 {
				m.Loads = append(m.Loads, booking.Load{Service: "pool", Target: ident.Target(fmt.Sprint("t", i)), Wait: 50 * time.Millisecond, SlotUtilization: 0.5, Utilization: 0.8})
			}
			for b.Loop() {
				size(m)
			}
			b.ReportMetric(size(m), "B/telling")
		})
	}
}

// BenchmarkLoadBytes reports the bytes of a load report without and with the speed of the target.
func BenchmarkLoadBytes(b *testing.B) {
	for _, speed := range []float64{0, 0.7, 2.358} {
		b.Run(fmt.Sprint("speed=", speed), func(b *testing.B) {
			var m booking.Message
			for i := range 100 {
				m.Loads = append(m.Loads, booking.Load{Service: "pool", Target: ident.Target(fmt.Sprint("t", i)), Wait: 50 * time.Millisecond, SlotUtilization: 0.5, Utilization: 0.8, Speed: speed})
			}
			size := 0
			for b.Loop() {
				enc := newEncoder()
				enc.encode(&fleetv1.Frame{}, &scheduler.Message{Bookings: m})
				f := &fleetv1.Frame{}
				enc.encode(f, &scheduler.Message{Bookings: m})
				size = proto.Size(f)
			}
			b.ReportMetric(float64(size)/100, "B/load")
		})
	}
}

// Guards against requests that are held back to the end of their hold, because the signal that ends it
// is lost when messages to a daemon are combined.
func TestOutboxKeepsSignalsThatEndHolds(t *testing.T) {
	is := is.New(t)
	o := newOutbox(100)
	for id := range uint64(3) {
		is.True(o.enqueue(&scheduler.Message{Bookings: booking.Message{Incarnation: 7, Ready: []uint64{id}}}))
	}
	is.Equal(o.queued.Bookings.Ready, []uint64{0, 1, 2})
	is.Equal(len(o.urgent), 1)
	is.Equal(reliableRows(&o.queued), 3)
}
