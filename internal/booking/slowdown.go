package booking

import "time"

// Streams slow down while their engine reads prompts, by how much is observed, and bounds
// the part of its time that it may read.
//
// Load pattern: engines are kept busy with prompts by workspaces that ask for many times
// their usual. An engine reads a chunk and makes one token of each stream in turn; where a
// chunk takes 41 ms and a token alone 7 ms, a stream beside steady reading lasts six times
// as long, where they take 7 ms each, twice. First tokens are in time all the while. But
// streams of 13 s outlive their callers' patience and a planned stop of 8 s, and whatever
// fails takes six times as many of them along.
//
// The rate of a stream's events is taken for one of steady reading and one of none, mixed
// by the part of its time that the engine read. Two sums of squares of what ended streams
// show give both.

const (
	// mostSlowdown is how many times as long a stream may take as beside no reading.
	mostSlowdown = 1.5
	// leastReading and mostReading bound the part of its time that an engine may read.
	leastReading = 0.3
	mostReading  = 0.72
	// assumedRatio is the rate beside steady reading, as a part of that beside none,
	// before anything was seen, and ratioWeight how many streams it stands for.
	assumedRatio = 0.3
	ratioWeight  = 4
	// forgetStreams is the part of the sums that each new stream replaces: they rest on
	// the last 300 or so.
	forgetStreams = 1.0 / 300
	keepStreams   = 1 - forgetStreams
	// leastPause and mostPause bound an observed mean pause between events: beyond them
	// it was not the engine that it shows.
	leastPause = time.Millisecond
	mostPause  = time.Second
)

// slowdown learns the rates of events beside reading and beside none by least squares.
type slowdown struct {
	// idle, both and reading are sums of products of the parts of time without and with
	// reading; idleRate and readingRate those of the parts and the rate.
	idle, both, reading   float64
	idleRate, readingRate float64
}

// observe takes in the mean pause of a stream beside an engine that read for a part of
// its time.
func (s *slowdown) observe(part float64, pause time.Duration) {
	if pause < leastPause || pause > mostPause {
		return
	}
	part = min(1, part)
	rate := 1 / pause.Seconds()
	s.idle = keepStreams*s.idle + (1-part)*(1-part)
	s.both = keepStreams*s.both + (1-part)*part
	s.reading = keepStreams*s.reading + part*part
	s.idleRate = keepStreams*s.idleRate + (1-part)*rate
	s.readingRate = keepStreams*s.readingRate + part*rate
}

// ratio is the rate beside steady reading as a part of that beside none. The assumption
// enters as streams whose two rates stand in the assumed ratio.
func (s *slowdown) ratio() float64 {
	const a, w = assumedRatio, ratioWeight
	idle, both, reading := s.idle+w*a*a, s.both-w*a, s.reading+w
	idleRate := reading*s.idleRate - both*s.readingRate
	readingRate := idle*s.readingRate - both*s.idleRate
	if idleRate <= 0 || readingRate <= 0 {
		return assumedRatio
	}
	return min(1, readingRate/idleRate)
}

// mostPart is the part of its time that an engine may read.
func (s *slowdown) mostPart() float64 {
	slower := 1 - s.ratio()
	if slower <= 0 {
		return mostReading
	}
	return min(max((1-1/mostSlowdown)/slower, leastReading), mostReading)
}

// streamed takes in that a stream has ended.
func (e *engine) streamed(now time.Time, r *run, end Release) {
	if end.EventInterval <= 0 || r.firstByteAt.IsZero() || !now.After(r.firstByteAt) {
		return
	}
	lasted := now.Sub(r.firstByteAt)
	part := (e.readTotal - r.prefillBefore).Seconds() / lasted.Seconds()
	e.service.slowdown.observe(part, end.EventInterval)
}
