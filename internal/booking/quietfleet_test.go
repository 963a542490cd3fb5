package booking

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against refusals in a quiet fleet: of a burst that is a small part of the stated rate, the
// demand is counted before the grants are, so that little seemed to have been granted, and most of
// the time of full targets was reserved for workspaces that are not underserved.
func TestBurstInAQuietFleetMayUseAllOfItsTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []Service{{
		Name: "pool", ServesModel: true, Rate: 1e6,
		Targets:    []Target{{Name: "engine", Zone: "z", Slots: 64, Memory: 444000}},
		Workspaces: []Workspace{{Name: "w", Weight: 1}},
	}})
	const prompt, objective = 4500, time.Second
	longest := time.Duration(0)
	for i := range 20 {
		id := ident.Request(fmt.Sprint(i))
		c.Submit(now, Request{
			ID: id, Service: "pool", Workspace: "w", Prompt: prompt, Output: 10,
			Parts: []PromptPart{{ID: uint64(i), Tokens: prompt}}, Deadline: now.Add(objective),
		})
		for _, effect := range c.TakeEffects() {
			switch e := effect.(type) {
			case Dispatch:
				longest = max(longest, e.Basis.Expected)
			case Refuse:
				is.True(!math.IsInf(e.Basis.ShareUsed, 0)) // it is logged
			}
		}
	}
	is.True(longest > 8*objective/10)
}
