package responsehead

import (
	"io"
	"sync"
)

// Reader passes on what it reads from a connection up to a head that is none. Its methods may be called
// concurrently; the head of a response must be expected before any byte of it is read.
type Reader struct {
	in io.Reader

	mu      sync.Mutex
	checker Checker
	// expects is set from ExpectHead until the end of the response's own head.
	expects bool
	// violation ends the input.
	violation error
}

// NewReader returns a Reader that does not expect a head yet.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// ExpectHead makes the next bytes those of a response. buffered holds those of them that were read already;
// the error is a Violation within these.
func (r *Reader) ExpectHead(buffered []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker, r.expects = Checker{}, true
	_, r.violation = r.check(buffered)
	return r.violation
}

// check checks bytes of a response and returns how many of them may be read on. The caller holds the lock.
func (r *Reader) check(p []byte) (n int, err error) {
	if !r.expects {
		return len(p), nil
	}
	n, err = r.checker.Check(p)
	if err != nil {
		return n, err
	}
	r.expects = !r.checker.Done()
	return len(p), nil
}

// Read implements io.Reader. After the bytes up to a malformed one the input ends with a Violation. A reader of
// lines may report the last line instead; see Violation.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Violation(); err != nil {
		return 0, err
	}
	n, err := r.in.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	checked, violation := r.check(p[:n])
	if violation != nil {
		// The violation comes by itself: net/http would otherwise take a connection that fails before the
		// first byte of a response for one that was idle, and send the request again.
		r.violation, err = violation, nil
	}
	return checked, err
}

// Violation returns the error of the malformed head at which the input has ended; nil if there is none.
func (r *Reader) Violation() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violation
}
