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
	// callersPerWorkspace is the number of callers per backlogged workspace and
	// daemon; the fleet has slots for one of them.
	callersPerWorkspace = 4
)

// Point holds the parameters of one measurement. It is passed to the processes
// as JSON.
type Point struct {
	Daemons int
	// Star links the peers to the subject only; otherwise the fleet is a full mesh.
	Star bool
	TLS  bool
	// Backlogged is the number of workspaces that have waiting requests at every
	// daemon.
	Backlogged int
	Targets    int
	// Rate is the number of requests per second that complete at each daemon.
	Rate float64
	// Changes is the number of configuration changes per second.
	Changes float64
	// Window is the duration of the measurement, and Warm the delay before it.
	Window, Warm time.Duration
	// Exchange is the exchange interval of the scheduler.
	Exchange time.Duration
	// ReduceAbove is the number of daemons above which served totals are
	// aggregated within zones.
	ReduceAbove int
}

// Sample holds the costs of the subject measured at one point.
type Sample struct {
	// Sent and Received are in bytes per second, including framing, TLS and
	// estimated IP and TCP headers. Payload is the part of Sent that consists of
	// encoded frames.
	Sent, Received, Payload float64
	// CPU is the CPU time of the process divided by the duration of the window.
	CPU float64
	// RSS and Heap are in MB. Heap is the live heap after a garbage collection
	// plus the stacks.
	RSS, Heap float64
	// Requests is the number of requests per second that completed at the subject.
	Requests float64
	Links    int
}

// daemonName returns the name of daemon i. The subject, which has index zero,
// sorts into the middle of the names, so that it dials half of its links.
func (p Point) daemonName(i int) ident.Daemon {
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

// serviceTime returns the duration of a request at which Rate requests per second
// complete at each daemon while it runs one request of each backlogged workspace.
func (p Point) serviceTime() time.Duration {
	return time.Duration(float64(p.Backlogged) / p.Rate * float64(time.Second))
}

func (p Point) service() scheduler.Service {
	s := scheduler.Service{Name: serviceName, MeanCost: meanCost}
	for i := range p.Backlogged {
		s.Workspaces = append(s.Workspaces, scheduler.Workspace{Name: workspaceName(i), Weight: 1})
	}
	totalSlots := p.Daemons * p.Backlogged
	for i := range p.Targets {
		targetSlots := max(totalSlots*(i+1)/p.Targets-totalSlots*i/p.Targets, 1)
		s.Targets = append(s.Targets, scheduler.Target{
			Name: ident.Target(fmt.Sprintf("engine-%04d", i)), Zone: zoneName(i), Slots: targetSlots,
		})
	}
	return s
}
