package limit

import "github.com/savorystall/savorystall/internal/ident"

// elsewhere holds how many requests each other daemon's incarnation has accepted.
type elsewhere map[ident.Daemon]uint64

// hear takes in a total and returns how many requests are new. Of the first total
// of an incarnation none are: it may be that of hours.
func (e elsewhere) hear(from ident.Daemon, total uint64) uint64 {
	last, known := e[from]
	e[from] = max(last, total)
	if !known || total <= last {
		return 0
	}
	return total - last
}

func (e elsewhere) keep(live map[ident.Daemon]bool) {
	for id := range e {
		if !live[id] {
			delete(e, id)
		}
	}
}
