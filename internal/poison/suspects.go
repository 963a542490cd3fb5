package poison

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// maxBlame is the blame at which a request is held, and watchBlame the one from which on all
	// daemons report when it runs to its end.
	maxBlame   = 3.0
	watchBlame = 1.5
	// minHeldCrashes is the least number of crashes for a hold, however they count.
	minHeldCrashes = 3
	// earlyBlame and lateBlame are what one crash counts, as Crash.Early says.
	earlyBlame = 1.0
	lateBlame  = 0.5
	// explainedShare is the part of the blame that is left if another request that was in progress
	// there is held. It is not zero: of two that were in progress at the same targets each time, the
	// one that is held first may be the innocent one.
	explainedShare = 0.5
	// commonCauseInterval is the time within which crashes count as one: targets that end in the
	// same moment have ended for a common cause, such as the loss of a rack or of a network path.
	commonCauseInterval = 30 * time.Millisecond
	// suspectLifetime is how long after its last crash a request is suspected.
	suspectLifetime = 10 * time.Minute
	// maxSuspects bounds the suspects of a keeper; the ones with the least blame are dropped first.
	maxSuspects = 4096
)

// crashRecord is one end of a target with the request in progress.
type crashRecord struct {
	target ident.Target
	at     time.Time
	early  bool
	// explained reports that a request that is held was in progress there, too.
	explained bool
}

func (c crashRecord) blame() float64 {
	blame := lateBlame
	if c.early {
		blame = earlyBlame
	}
	if c.explained {
		blame *= explainedShare
	}
	return blame
}

// suspect is what a daemon knows of a request under which targets have ended.
type suspect struct {
	Subject
	// crashes are in the order of their times, one for each target.
	crashes []crashRecord
	watched bool
}

// add records a crash and reports whether it was new.
func (s *suspect) add(r crashRecord) bool {
	if slices.ContainsFunc(s.crashes, func(c crashRecord) bool { return c.target == r.target }) {
		return false
	}
	i := len(s.crashes)
	for i > 0 && s.crashes[i-1].at.After(r.at) {
		i--
	}
	s.crashes = slices.Insert(s.crashes, i, r)
	return true
}

// explain records which targets have ended for another request.
func (s *suspect) explain(targets []ident.Target) {
	for i := range s.crashes {
		s.crashes[i].explained = s.crashes[i].explained || slices.Contains(targets, s.crashes[i].target)
	}
}

// blame returns how much the request is to blame, and for how many separate crashes.
func (s *suspect) blame() (sum float64, crashes int) {
	var last time.Time
	counted := 0.0
	for _, c := range s.crashes {
		if crashes > 0 && c.at.Sub(last) < commonCauseInterval {
			if c.blame() > counted {
				sum, counted = sum+c.blame()-counted, c.blame()
			}
			continue
		}
		sum, counted, last = sum+c.blame(), c.blame(), c.at
		crashes++
	}
	return sum, crashes
}

// mustHold reports whether the request is to be held back.
func (s *suspect) mustHold() bool {
	sum, crashes := s.blame()
	return sum >= maxBlame && crashes >= minHeldCrashes
}

func (s *suspect) lastCrash() time.Time {
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].at
}

func (s *suspect) targets() []ident.Target {
	out := make([]ident.Target, len(s.crashes))
	for i, c := range s.crashes {
		out[i] = c.target
	}
	return out
}

// reports returns the crashes as they are reported to a keeper.
func (s *suspect) reports(now time.Time) []Crash {
	out := make([]Crash, len(s.crashes))
	for i, r := range s.crashes {
		out[i] = Crash{Subject: s.Subject, Target: r.target, Early: r.early, Ago: now.Sub(r.at)}
	}
	return out
}

// suspects holds suspects by their fingerprints.
type suspects map[Fingerprint]*suspect

// get returns the suspect of a subject. A full table drops the one with the least blame, of several
// the one whose last crash is longest ago.
func (t suspects) get(subject Subject) *suspect {
	if s := t[subject.Fingerprint]; s != nil {
		return s
	}
	if len(t) >= maxSuspects {
		t.dropLeast()
	}
	s := &suspect{Subject: subject}
	t[subject.Fingerprint] = s
	return s
}

func (t suspects) dropLeast() {
	var least *suspect
	leastBlame := 0.0
	for _, s := range t {
		blame, _ := s.blame()
		if least == nil || blame < leastBlame || blame == leastBlame && s.lastCrash().Before(least.lastCrash()) {
			least, leastBlame = s, blame
		}
	}
	delete(t, least.Fingerprint)
}

// expire drops the suspects whose last crash is long ago.
func (t suspects) expire(now time.Time) (dropped bool) {
	for fingerprint, s := range t {
		if now.Sub(s.lastCrash()) > suspectLifetime {
			delete(t, fingerprint)
			dropped = true
		}
	}
	return dropped
}
