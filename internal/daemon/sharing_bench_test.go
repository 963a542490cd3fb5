package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/internal/membership"
)

const (
	benchDaemons    = 68
	benchTargets    = 60
	benchWorkspaces = 30
)

var benchZones = []ident.Zone{"z0", "z1", "z2", "z3"}

// BenchmarkSharing measures the processor time of one second's log lines about shares in a
// fleet of 68 daemons with 60 targets and 30 workspaces, all of which get less than they
// request: at a daemon that only sheds requests for lack of processor time, and at the hub
// of a zone.
func BenchmarkSharing(b *testing.B) {
	members := benchMembers()
	hub := membership.NewOwners(members).Lookup("", "sums", benchZones[0])
	for _, m := range members {
		if m.Zone == benchZones[0] && m.ID != hub {
			b.Run("member", func(b *testing.B) { benchmarkSharing(b, members, m.ID) })
			break
		}
	}
	b.Run("hub", func(b *testing.B) { benchmarkSharing(b, members, hub) })
}

func benchMembers() (members []membership.Member) {
	for i := range benchDaemons {
		members = append(members, membership.Member{ID: ident.Daemon(fmt.Sprintf("edge-%02d", i)), Zone: benchZones[i%len(benchZones)], Incarnation: 1})
	}
	return members
}

// countingWriter counts the lines and bytes written to it.
type countingWriter struct{ lines, bytes int }

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	c.lines++
	c.bytes += len(p)
	return len(p), nil
}

func benchmarkSharing(b *testing.B, members []membership.Member, self ident.Daemon) {
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: self, Incarnation: 1, Zone: benchZones[0]}, rand.New(rand.NewPCG(1, 1)))
	service := benchService()
	c.Configure(now, []booking.Service{service})
	var peers []booking.Peer
	for _, m := range members {
		if m.ID != self {
			peers = append(peers, booking.Peer{ID: m.ID, Incarnation: m.Incarnation, Zone: m.Zone})
		}
	}
	c.SetPeers(now, peers)
	// Usage reported for a later time does not decay until then.
	later := now.Add(1000 * time.Hour)
	for _, p := range peers {
		for _, scope := range []booking.Scope{booking.ScopeOwn, booking.ScopeZone, booking.ScopeFleet} {
			m := booking.Message{Incarnation: 1, Scope: scope}
			for _, w := range service.Workspaces {
				m.Usage = append(m.Usage, booking.Usage{Service: service.Name, Workspace: w.Name, Asked: 12345678, Shed: 9876543, Granted: 1234567})
			}
			c.Receive(later, p.ID, m)
		}
	}
	out := &countingWriter{}
	writer := logging.NewWriter(io.Discard)
	defer writer.Close()
	log := slog.New(slog.NewJSONHandler(io.MultiWriter(out, writer), nil))
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(sharingInterval)
		for _, w := range service.Workspaces {
			c.RecordShed(now, service.Name, w.Name, 98765)
		}
		for _, sharing := range c.ShareReports(now) {
			event.ServiceShares.Log(log, sharingFields(sharing, 0.95)...)
		}
	}
	b.ReportMetric(float64(out.bytes)/float64(max(1, out.lines)), "bytes/line")
	b.ReportMetric(float64(out.lines)/float64(b.N), "lines/s")
}

func benchService() booking.Service {
	s := booking.Service{Name: "redactor", ServesModel: true, Rate: 2100000}
	for i := range benchTargets {
		s.Targets = append(s.Targets, booking.Target{Name: ident.Target(fmt.Sprintf("target-%02d", i)), Zone: benchZones[i%len(benchZones)], Slots: 32, Memory: 444000})
	}
	for i := range benchWorkspaces {
		s.Workspaces = append(s.Workspaces, booking.Workspace{Name: ident.Workspace(fmt.Sprintf("workspace-%02d", i)), Weight: 1})
	}
	return s
}
