package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// newExchange returns a message with demand and served totals of the given
// number of workspaces, with names of realistic length.
func newExchange(workspaces int) scheduler.Message {
	var m scheduler.Message
	for i := range workspaces {
		name := ident.Workspace(fmt.Sprintf("workspace-%04d", i))
		m.Demand = append(m.Demand, scheduler.Demand{Service: "lm-pool", Workspace: name, Waiting: uint32(i % 50), SeenGrant: 1 << 20})
		m.ServedTotals = append(m.ServedTotals, scheduler.ServedTotal{Service: "lm-pool", Workspace: name, Served: float64(1<<24 + i*1000)})
	}
	return m
}

func frameSize(b *testing.B, enc *encoder, m *scheduler.Message) int {
	f := &fleetv1.Frame{}
	enc.encode(f, m)
	wire, err := proto.Marshal(f)
	if err != nil {
		b.Fatal(err)
	}
	return len(wire)
}

// BenchmarkExchange reports the bytes of an exchange, per frame and per
// workspace, with name tables that persist for the link and with tables that
// are new in each frame.
func BenchmarkExchange(b *testing.B) {
	for _, workspaces := range []int{1, 10, 24, 62, 620} {
		for _, kept := range []bool{true, false} {
			b.Run(fmt.Sprintf("workspaces=%d/tables kept=%v", workspaces, kept), func(b *testing.B) {
				m := newExchange(workspaces)
				enc := newEncoder()
				enc.encode(&fleetv1.Frame{}, &m)
				size := 0
				for b.Loop() {
					if !kept {
						enc = newEncoder()
					}
					size = frameSize(b, enc, &m)
				}
				b.ReportMetric(float64(size)/float64(workspaces), "B/workspace")
				b.ReportMetric(float64(size), "B/frame")
			})
		}
	}
}

// BenchmarkLimits reports the bytes of the usage of limits, with name tables
// that persist for the link.
func BenchmarkLimits(b *testing.B) {
	for _, workspaces := range []int{1, 16, 62, 620} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			var m scheduler.Message
			for i := range workspaces {
				m.Limits = append(m.Limits, scheduler.LimitUsage{
					Service: "lm-pool", Workspace: ident.Workspace(fmt.Sprintf("workspace-%04d", i)),
					Report: limit.Report{Arrivals: 16 * 30, Accepted: 1<<20 + uint64(i), Wanted: 40, InFlight: 30},
				})
			}
			enc := newEncoder()
			enc.encode(&fleetv1.Frame{}, &m)
			size := 0
			for b.Loop() {
				size = frameSize(b, enc, &m)
			}
			b.ReportMetric(float64(size), "B/frame")
		})
	}
}
