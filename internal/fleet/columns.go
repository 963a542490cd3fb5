package fleet

// stepper turns a column into differences and back.
type stepper struct{ last uint64 }

func (s *stepper) down(v uint64) int64 {
	d := int64(v - s.last)
	s.last = v
	return d
}

func (s *stepper) up(d int64) uint64 {
	s.last += uint64(d)
	return s.last
}

func steps(values []uint64) []int64 {
	out := make([]int64, 0, len(values))
	var step stepper
	for _, v := range values {
		out = append(out, step.down(v))
	}
	return out
}

func values(steps []int64) []uint64 {
	var out []uint64
	var step stepper
	for _, s := range steps {
		out = append(out, step.up(s))
	}
	return out
}
