package telemetry

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against metrics that grow with each target that was ever seen.
func TestValuesOfATagAreBounded(t *testing.T) {
	is := is.New(t)
	var l tagLimiter
	for i := range maxTagValues {
		is.Equal(l.tag(strconv.Itoa(i)), strconv.Itoa(i))
	}
	is.Equal(l.tag("one more"), otherTag)
	is.Equal(l.tag("0"), "0")
	is.Equal(len(l.seen), maxTagValues)
}
