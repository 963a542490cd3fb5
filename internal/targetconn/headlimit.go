package targetconn

import (
	"io"
	"math"

	"github.com/ansel1/merry/v2"
)

const (
	// maxHeadBytes bounds the head of one response with all interim responses before it, and the
	// trailers of a body: they are kept in memory as a whole.
	maxHeadBytes = 256 << 10
	// unlimited is the allowance while a body is read, of which only a buffer is kept.
	unlimited = math.MaxInt64
)

// errHeadTooLong is the error of a response whose head does not end.
var errHeadTooLong = merry.New("the head of the response is too long")

// limitedReader reads from a connection up to an allowance. Only the goroutine that reads the
// connection uses it.
type limitedReader struct {
	io.Reader
	allowance int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.allowance <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.allowance)])
	r.allowance -= int64(n)
	return n, err
}
