package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// frameOverhead is the size in bytes of the HTTP/2 and gRPC framing of a frame.
const frameOverhead = 14 + packetOverhead

// originFleet is a fleet of daemons that tell each other the origins of streams over links.
type originFleet struct {
	now      time.Time
	cores    map[ident.Daemon]*origin.Core
	zones    map[ident.Daemon]ident.Zone
	encoders map[[2]ident.Daemon]*encoder
	sent     map[ident.Daemon]int
	received map[ident.Daemon]int
	frames   int
	// ended counts the searches that have ended, recorded those that found a record.
	ended, recorded int
}

func newOriginFleet(daemons, zones int) *originFleet {
	f := &originFleet{now: time.Unix(1000, 0), cores: map[ident.Daemon]*origin.Core{}, zones: map[ident.Daemon]ident.Zone{}, encoders: map[[2]ident.Daemon]*encoder{}, sent: map[ident.Daemon]int{}, received: map[ident.Daemon]int{}}
	var members []origin.Member
	for i := range daemons {
		members = append(members, origin.Member{ID: ident.Daemon(fmt.Sprintf("edge-%d", i)), Zone: ident.Zone(fmt.Sprint("zone-", i%zones))})
	}
	view := origin.View{
		Routes: map[string][]ident.Service{"r": {"pool"}}, Versions: map[ident.Service][]ident.Version{"pool": {"v1", "v2"}}, Lifetime: 20 * time.Second,
	}
	for i, m := range members {
		c := origin.New(origin.Config{Self: m.ID, Zone: m.Zone, MaxViewAge: 3 * time.Second}, f.now)
		c.SetMembers(f.now, append(append([]origin.Member{}, members[:i]...), members[i+1:]...))
		c.Recall(f.now, nil)
		c.Observe(f.now, view)
		f.cores[m.ID], f.zones[m.ID] = c, m.Zone
	}
	return f
}

// transfer passes on all messages until there are none.
func (f *originFleet) transfer(t *testing.T) {
	for moved := true; moved; {
		moved = false
		for id, c := range f.cores {
			for _, effect := range c.TakeEffects() {
				switch e := effect.(type) {
				case origin.Found:
					f.ended++
					if e.Finding.Status == origin.Recorded {
						f.recorded++
					}
				case origin.Send:
					f.send(t, id, e)
					moved = true
				}
			}
		}
	}
}

func (f *originFleet) send(t *testing.T, from ident.Daemon, e origin.Send) {
	link := [2]ident.Daemon{from, e.To}
	if f.encoders[link] == nil {
		f.encoders[link] = newEncoder()
	}
	frame := &fleetv1.Frame{}
	f.encoders[link].encode(frame, &scheduler.Message{Origins: e.Message})
	size := proto.Size(frame) + frameOverhead
	f.sent[from] += size
	f.received[e.To] += size
	f.frames++
	f.cores[e.To].Receive(f.now, from, e.Message)
}

// Guards against records of streams whose messages take more than a daemon's share of control
// traffic in a large fleet, while a service has two versions.
func TestOriginTrafficOfLargeFleet(t *testing.T) {
	const (
		daemons, zones   = 360, 7
		streamsPerSecond = 40 // of 70 requests, for each daemon
		resumePercent    = 1
		seconds          = 5
		step             = 25 * time.Millisecond
		maxBytes         = 4096 // a second, for each daemon
	)
	f := newOriginFleet(daemons, zones)
	begun, asked := 0, 0
	earlier := map[ident.Zone][]origin.Key{}
	for elapsed := time.Duration(0); elapsed < seconds*time.Second; elapsed += step {
		f.now = f.now.Add(step)
		for id, c := range f.cores {
			c.Confirm(f.now, f.now)
			begun++
			key := origin.NewKey("w", fmt.Sprint(begun))
			c.Began(f.now, key, origin.Origin{Service: "pool", Version: "v1"})
			zone := f.zones[id]
			if earlier[zone] = append(earlier[zone], key); begun%(100/resumePercent) == 0 {
				asked++
				c.Find(f.now, ident.Request(fmt.Sprint("r", asked)), earlier[zone][len(earlier[zone])/2], "r")
			}
			c.Tick(f.now)
		}
		f.transfer(t)
	}
	is := is.New(t)
	is.Equal(begun, daemons*streamsPerSecond*seconds)
	is.Equal(f.ended, asked)
	is.True(f.recorded*10 > asked*9)
	var total, most int
	for id := range f.cores {
		total += f.sent[id]
		most = max(most, f.sent[id], f.received[id])
	}
	t.Logf("%.1f frames/s and %d B/s sent by each daemon, at most %d B/s sent or received by one", float64(f.frames)/daemons/seconds, total/daemons/seconds, most/seconds)
	if mean := total / daemons / seconds; mean > maxBytes {
		t.Errorf("%d B/s on average, at most %d", mean, maxBytes)
	}
}
