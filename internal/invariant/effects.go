package invariant

// EffectRan records that a pool has carried out a set-up of a class that must not be repeated. The effect names what
// its caller wants done once, under however many calls it asks for that.
func (c *Checker) EffectRan(now int64, effect, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, ranBefore := c.effects[effect]
	if ranBefore {
		c.report(violated(RuleNoEffectTwice, now, effect, "carried out at %s and again at %s", first, pool))
		return
	}
	c.effects[effect] = pool
}
