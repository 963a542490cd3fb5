package garbage_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/standin/garbage"
)

// Guards against kinds that send the same bytes, or a sound event with the next ID.
func TestKindsDifferAndAreNoSoundEvents(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, kind := range garbage.Kinds() {
		text := kind.Text(7)
		is.True(!seen[text])
		seen[text] = true
		is.Equal(strings.HasSuffix(text, "\n\n"), kind.IsTerminated())
		is.True(text != "id: 7\ndata: "+garbage.Mark+"\n\n")
		if kind != garbage.Zeros && kind != garbage.Long {
			is.True(strings.Contains(text, garbage.Mark))
		}
	}
	is.Equal(len(seen), 16)
}
