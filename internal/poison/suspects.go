package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxBlame is the blame at which a request is held, and watchBlame the one from which on all
	// daemons report when it runs to its end.
	maxBlame   = 3.0
	watchBlame = 1.5
	// rareBlame is the blame at which a part is held that was in progress at fewer than half of the
	// targets that have lately ended: what ends targets is there each time.
	rareBlame = 6.0
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
	// sameEndInterval is the time within which reports tell of the same end of a process.
	sameEndInterval = 3 * time.Second
	// suspectLifetime is how long after its last crash a request is suspected.
	suspectLifetime = 10 * time.Minute
	// maxSuspects bounds the suspects of a keeper; the ones with the least blame are dropped first,
	// droppedSuspects at a time.
	maxSuspects     = 4096
	droppedSuspects = 256
	// maxPrompts bounds the prompts with a part that are known of one crash. The one to blame has to be
	// among them.
	maxPrompts = 128
)

// prompt is the request in which a suspect came, and the other parts of its prompt that may be to
// blame.
type prompt struct {
	request Filter
	beside  PartSet
}

func (p prompt) equal(other prompt) bool {
	return p.request == other.request && slices.Equal(p.beside, other.beside)
}

// crashRecord is one end of a target with the request in progress.
type crashRecord struct {
	process Process
	at      time.Time
	early   bool
	// prompts are those with the suspect that were in progress there. One of them is to blame, not
	// all of them.
	prompts []prompt
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

// suspect is what a daemon knows of a subject under which targets have ended.
type suspect struct {
	Subject
	// crashes are in the order of their times, one for each target.
	crashes []crashRecord
	watched bool
}

// add records a crash and reports whether anything about it was new.
func (s *suspect) add(r crashRecord) bool {
	known := slices.IndexFunc(s.crashes, r.isSameEnd)
	if known >= 0 {
		return s.crashes[known].merge(r)
	}
	i := len(s.crashes)
	for i > 0 && s.crashes[i-1].at.After(r.at) {
		i--
	}
	s.crashes = slices.Insert(s.crashes, i, r)
	return true
}

// isSameEnd reports whether another daemon, or another request, tells of the same end of a process. A
// process that ends again has been started again, though its registration may not tell yet.
func (c *crashRecord) isSameEnd(other crashRecord) bool {
	return c.process == other.process && c.at.Sub(other.at).Abs() < sameEndInterval
}

// merge adds what another request tells of the same crash, and reports whether that was new.
func (c *crashRecord) merge(other crashRecord) (changed bool) {
	if other.early && !c.early {
		c.early, changed = true, true
	}
	for _, p := range other.prompts {
		if !slices.ContainsFunc(c.prompts, p.equal) && len(c.prompts) < maxPrompts {
			c.prompts, changed = append(c.prompts, p), true
		}
	}
	return changed
}

// commonParts returns the most parts that came beside the suspect at each crash, in one prompt there.
func (s *suspect) commonParts() PartSet {
	var best PartSet
	for _, first := range s.crashes[0].prompts {
		common := first.beside
		for _, c := range s.crashes[1:] {
			common = c.mostCommon(common)
		}
		if best == nil || len(common) > len(best) {
			best = common
		}
	}
	return best
}

// mostCommon returns the most of the given parts that were in one prompt.
func (c *crashRecord) mostCommon(parts PartSet) (most PartSet) {
	for _, p := range c.prompts {
		if common := parts.intersect(p.beside); most == nil || len(common) > len(most) {
			most = common
		}
	}
	return most
}

// dropPart removes a part that is not to blame.
func (s *suspect) dropPart(cleared Subject) {
	if s.Workspace != cleared.Workspace || s.Part.Service != cleared.Part.Service {
		return
	}
	for i := range s.crashes {
		for j, p := range s.crashes[i].prompts {
			if p.beside.contains(cleared.Part.ID) {
				s.crashes[i].prompts[j].beside = p.beside.without(cleared.Part.ID)
			}
		}
	}
}

// toHold returns what to hold back.
func (s *suspect) toHold() Hold {
	if !s.IsPart() {
		return Hold{Subject: s.Subject, Ended: s.processes()}
	}
	return NewPartsHold(s.Workspace, s.Route, s.Part.Service, s.commonParts().with(s.Part.ID), s.processes())
}

// explain records which processes have ended for another request.
func (s *suspect) explain(ended []Process) {
	for i := range s.crashes {
		s.crashes[i].explained = s.crashes[i].explained || slices.Contains(ended, s.crashes[i].process)
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

// mustHold reports whether the suspect is to be held back, given how many targets have lately ended
// for no known cause. A part that came in one and the same request each time is not: that request is.
func (s *suspect) mustHold(ended int) bool {
	sum, crashes := s.blame()
	if crashes < minHeldCrashes {
		return false
	}
	if !s.IsPart() {
		return sum >= maxBlame
	}
	if 2*len(s.crashes) < ended {
		return sum >= rareBlame && !s.isOneRequest()
	}
	return sum >= maxBlame && !s.isOneRequest()
}

// isOneRequest reports whether the suspect may have come in the same request at each crash.
func (s *suspect) isOneRequest() bool {
	return slices.ContainsFunc(s.crashes[0].prompts, func(first prompt) bool {
		return !slices.ContainsFunc(s.crashes, func(c crashRecord) bool { return !c.hasRequest(first.request) })
	})
}

func (c *crashRecord) hasRequest(f Filter) bool {
	return slices.ContainsFunc(c.prompts, func(p prompt) bool { return p.request == f })
}

// firstCrash returns when the first target ended; there is one.
func (s *suspect) firstCrash() time.Time { return s.crashes[0].at }

func (s *suspect) lastCrash() time.Time {
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].at
}

func (s *suspect) processes() []Process {
	out := make([]Process, len(s.crashes))
	for i, c := range s.crashes {
		out[i] = c.process
	}
	return out
}

// reports returns the crashes as they are reported to a keeper.
func (s *suspect) reports(now time.Time) (out []Crash) {
	for _, r := range s.crashes {
		crash := Crash{Subject: s.Subject, Process: r.process, Early: r.early, Ago: now.Sub(r.at)}
		for _, p := range r.prompts {
			crash.Request, crash.Beside = p.request, p.beside
			out = append(out, crash)
		}
	}
	return out
}

// suspects holds suspects by their fingerprints.
type suspects map[Fingerprint]*suspect

// get returns the suspect of a subject. A full table drops those with the least blame, of equal ones
// those whose last crash is longest ago.
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

// dropLeast drops droppedSuspects at once: to look for the least ones costs time.
func (t suspects) dropLeast() {
	type ranked struct {
		fingerprint Fingerprint
		blame       float64
		lastCrash   time.Time
	}
	all := make([]ranked, 0, len(t))
	for fingerprint, s := range t {
		blame, _ := s.blame()
		all = append(all, ranked{fingerprint, blame, s.lastCrash()})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.blame, b.blame), a.lastCrash.Compare(b.lastCrash))
	})
	for _, r := range all[:min(droppedSuspects, len(all))] {
		delete(t, r.fingerprint)
	}
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
