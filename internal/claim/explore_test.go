package claim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/test/fixedseed"

	"github.com/savorystall/savorystall/internal/resultcode"
)

func init() { fixedseed.SetChecksAndSteps(3000, 60) }

// pickCall draws a call in the given state whose process is alive and not paused.
func (s *simulation) pickCall(t *rapid.T, state callState) *claimCall {
	var candidates []*claimCall
	for _, c := range s.calls {
		if c.state == state && c.alive() && !c.daemon.paused {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no call in this state")
	}
	return rapid.SampledFrom(candidates).Draw(t, "call")
}

func (s *simulation) pickDaemon(t *rapid.T) *simulatedDaemon {
	return rapid.SampledFrom(s.daemons).Draw(t, "daemon")
}

func (s *simulation) pickMessage(t *rapid.T) int {
	if len(s.inFlight) == 0 {
		t.Skip("nothing on the wire")
	}
	return rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
}

func (s *simulation) removeMessage(i int) message {
	m := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	return m
}

func (s *simulation) deliverMessage(m message) {
	if reply, ok := s.deliver(m); ok {
		s.inFlight = append(s.inFlight, reply)
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": s.checkInvariants,
		"repeat": func(t *rapid.T) {
			if n := s.pickDaemon(t); !n.paused {
				s.begin(n)
			}
		},
		"deliver": func(t *rapid.T) { s.deliverMessage(s.removeMessage(s.pickMessage(t))) },
		"catch up": func(t *rapid.T) {
			for range len(s.inFlight) {
				s.deliverMessage(s.removeMessage(0))
			}
		},
		"round trip": func(*rapid.T) {
			for n := 0; len(s.inFlight) > 0 && n < 20; n++ {
				s.deliverMessage(s.removeMessage(0))
			}
		},
		"duplicate": func(t *rapid.T) { s.deliverMessage(s.inFlight[s.pickMessage(t)]) },
		"lose":      func(t *rapid.T) { s.removeMessage(s.pickMessage(t)) },
		"resend":    func(t *rapid.T) { s.sendClaim(s.pickCall(t, callWaiting)) },
		"give up":   func(t *rapid.T) { s.giveUp(s.pickCall(t, callWaiting)) },
		"no answer": func(t *rapid.T) {
			i := s.pickMessage(t)
			if m := s.inFlight[i]; m.query || m.status != nil {
				s.removeMessage(i)
				act, d := evaluateStatus(Status{}, errInjected)
				s.applyAction(m.from, m.row, act, d)
			}
		},
		"abandon": func(t *rapid.T) { s.giveUp(s.pickCall(t, callHeld)) },
		"start":   func(t *rapid.T) { s.start(s.pickCall(t, callHeld), 0) },
		"start after pause": func(t *rapid.T) {
			s.start(s.pickCall(t, callHeld), time.Duration(rapid.IntRange(1, 49).Draw(t, "seconds"))*time.Second)
		},
		"rewind":  func(t *rapid.T) { s.undoStart(s.pickCall(t, callRunning)) },
		"end":     s.end,
		"pause":   func(t *rapid.T) { n := s.pickDaemon(t); n.paused = !n.paused },
		"restart": func(t *rapid.T) { s.restart(s.pickDaemon(t)) },
		"time": func(t *rapid.T) {
			seconds := rapid.SampledFrom([]int{1, 2, 11, 61}).Draw(t, "seconds")
			s.now = s.now.Add(time.Duration(seconds) * time.Second)
		},
		"expire": func(t *rapid.T) {
			if s.row.Revision == 0 || s.now.Sub(s.writtenAt) < simulatedTTL {
				t.Skip("the TTL of the row has not passed")
			}
			s.row = observedRow{}
			s.generation++
		},
	}
}

func (s *simulation) undoStart(c *claimCall) {
	c.daemon.ledger.undoStart(testKey, c.record.Token)
	c.state = callHeld
	s.runs--
}

func (s *simulation) end(t *rapid.T) {
	c := s.pickCall(t, callRunning)
	o := rapid.SampledFrom([]Outcome{
		{Result: resultcode.NotRun}, {Result: resultcode.MayHaveRun},
		{Result: resultcode.Ran}, {Result: resultcode.Ran, HasResponse: true},
	}).Draw(t, "outcome")
	c.daemon.ledger.finish(testKey, c.record.Token, o)
	c.state = callRan
	if o.Result == resultcode.NotRun {
		c.state = callEnded
		s.runs--
	}
	s.sendFinal(c, o)
}

func (s *simulation) restart(n *simulatedDaemon) {
	n.incarnation++
	n.ledger = newLedger(simulatedStartTimeout)
	n.paused = false
	for _, c := range s.calls {
		if c.daemon == n && c.state < callRunning {
			c.state = callDead
		}
	}
}

func TestRulesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		actions := s.actions()
		// Most faults require a run, so these actions are drawn more often.
		actions["start 2"], actions["repeat 2"] = actions["start"], actions["repeat"]
		t.Repeat(actions)
	})
}

func TestKeyIsUsableAfterFaults(t *testing.T) {
	// If no daemon restarted and nothing ran, a retry after the faults is granted,
	// whatever was lost, late or paused. Otherwise a caller could be told for a day
	// (the default RecordTTL) that a request may have run although it was never sent.
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		actions := s.actions()
		for _, name := range []string{"start", "start after pause", "rewind", "end", "restart"} {
			delete(actions, name)
		}
		t.Repeat(actions)
		for _, n := range s.daemons {
			n.paused = false
		}
		for _, c := range s.calls {
			if c.state < callRunning {
				s.giveUp(c)
			}
		}
		c := s.begin(s.pickDaemon(t))
		for len(s.inFlight) > 0 {
			s.deliverMessage(s.removeMessage(0))
		}
		if c.state != callHeld {
			t.Fatalf("the repeat was not granted: state %d, row %+v", c.state, s.row)
		}
	})
}
