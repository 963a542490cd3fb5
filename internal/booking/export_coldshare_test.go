package booking

// SetShareRule replaces the rule by which the limit of cold targets is divided.
func (c *Core) SetShareRule(rule func(insideReached, inside, outsideReached, outside int) float64) {
	c.reach.rule = func(in, out census) float64 { return rule(in.reached, in.all, out.reached, out.all) }
}
