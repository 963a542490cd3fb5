package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/registry"
)

// Guards against a workspace that gets past the shares of others by stating a last event with every
// request.
func TestReturnsWithoutRecordAreBelievedUpToCredit(t *testing.T) {
	is := is.New(t)
	c := resumeCredits{byWorkspace: map[ident.Workspace]float64{}}
	believed := func(n int) (count int) {
		for range n {
			if c.take("w") {
				count++
			}
		}
		return count
	}
	is.Equal(believed(1000), startResumeCredit)
	for range 20 {
		c.earn("w")
	}
	is.Equal(believed(1000), 10)
	for range 1000 {
		c.earn("w")
	}
	is.Equal(believed(1000), maxResumeCredit)
	is.Equal(c.take("other"), true)
}

// Guards against a request that is sent to a target of another version, or to one whose version is
// not known, after it was placed.
func TestRequestWithOriginMayUseItsVersionOnly(t *testing.T) {
	is := is.New(t)
	begins, resumes := &proxyRequest{}, &proxyRequest{origin: &origin.Origin{Service: "pool", Version: "v1"}}
	unknown := &proxyRequest{origin: &origin.Origin{Service: "pool"}}
	for _, version := range []ident.Version{"", "v1", "v1.0", "V1"} {
		entry := registry.Entry{Service: "pool", Version: version}
		is.Equal(begins.mayUse(entry), true)
		is.Equal(resumes.mayUse(entry), version == "v1")
		is.Equal(unknown.mayUse(entry), false)
	}
}
