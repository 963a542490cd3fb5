package main

import (
	"fmt"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	roleSubject = "subject"
	rolePeers   = "peers"
	// callersEach is how many callers each backlogged workspace has at each
	// daemon; the fleet has slots for one of them.
	callersEach = 4
)

// Point is one setting of an experiment.
type Point struct {
	Daemons int
	// Star links the peers to the subject only; else all are linked to all.
	Star bool
	TLS  bool
	// Backlogged workspaces wait at every daemon.
	Backlogged int
	Targets    int
	// Rate is the requests a second that end at each daemon.
	Rate float64
	// Changes of the configuration a second.
	Changes      float64
	Window, Warm time.Duration
	// Exchange is the interval of the scheduler's exchange.
	Exchange time.Duration
	// ReduceAbove is the number of daemons above which service parts are added
	// up within zones.
	ReduceAbove int
}

// Sample is what one point cost the subject.
type Sample struct {
	// Sent and Received are bytes a second with framing, TLS and estimated IP
	// and TCP headers; Payload is the part of Sent that is encoded frames.
	Sent, Received, Payload float64
	// CPU is the processor time of the process over the window.
	CPU float64
	// RSS and Heap are in MB; Heap is live heap after a collection and stacks.
	RSS, Heap float64
	// Requests that ended at the subject a second.
	Requests float64
	Links    int
}

// name puts the subject, number zero, into the middle of the names, so that it
// dials half of its links.
func (p Point) name(i int) ident.Daemon {
	switch {
	case i == 0:
		return "m"
	case i%2 == 0:
		return ident.Daemon(fmt.Sprintf("a%03d", i))
	default:
		return ident.Daemon(fmt.Sprintf("z%03d", i))
	}
}

func workspaceName(i int) ident.Workspace { return ident.Workspace(fmt.Sprintf("workspace-%04d", i)) }

// serviceTime makes Rate requests a second end at each daemon when it runs one
// request of each backlogged workspace.
func (p Point) serviceTime() time.Duration {
	return time.Duration(float64(p.Backlogged) / p.Rate * float64(time.Second))
}

func (p Point) service() scheduler.Service {
	s := scheduler.Service{Name: serviceName, MeanCost: meanCost}
	for i := range p.Backlogged {
		s.Workspaces = append(s.Workspaces, scheduler.Workspace{Name: workspaceName(i), Weight: 1})
	}
	slots := p.Daemons * p.Backlogged
	for i := range p.Targets {
		share := max(slots*(i+1)/p.Targets-slots*i/p.Targets, 1)
		s.Targets = append(s.Targets, scheduler.Target{
			Name: ident.Target(fmt.Sprintf("engine-%04d", i)), Zone: zoneName(i), Slots: share,
		})
	}
	return s
}
