package invariant

// The duties of a process that an operator has called to drain. Times are µs.
const (
	// emptyTimeout is when no connection may be idle or carry a recent set-up any more, counted from the call.
	emptyTimeout = 4_000_000
	// recentSetup is how old a set-up on such a connection must be.
	recentSetup = 2_000_000
)

// processView is what the checker knows of a process that may be drained.
type processView struct {
	drainedSince int64 // 0: it is not drained
	resumedAt    int64 // 0: it was never drained, or was ready since
}

// connectionView is what the checker knows of a client's connection.
type connectionView struct {
	process     string
	setups      map[string]int64 // open set-ups by id, with the times of their last bytes
	established map[string]bool  // established calls that it set up

	unusedSince int64 // while it has neither
}

// touch notes whether the connection has set-ups or calls now.
func (v *connectionView) touch(now int64) {
	if len(v.setups)+len(v.established) > 0 {
		v.unusedSince = 0
	} else if v.unusedSince == 0 {
		v.unusedSince = now
	}
}

// process returns what is known of a process. The caller holds mu.
func (c *Checker) process(name string) *processView {
	p := c.processes[name]
	if p == nil {
		p = &processView{}
		c.processes[name] = p
	}
	return p
}

// DrainStarted records that a process has answered an operator's call to drain with yes.
func (c *Checker) DrainStarted(now int64, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.process(process)
	if p.drainedSince == 0 {
		p.drainedSince = now
	}
	p.resumedAt = 0
}

// DrainEnded records that a process has answered the end of the drain with yes.
func (c *Checker) DrainEnded(now int64, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.process(process)
	if p.drainedSince != 0 {
		p.resumedAt = now
	}
	p.drainedSince = 0
}

// ProcessEnded records the end of a process: its drain and its clients' connections end with it.
func (c *Checker) ProcessEnded(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.processes, process)
	for name, connection := range c.connections {
		if connection.process == process {
			delete(c.connections, name)
		}
	}
}

// ReadinessReported records the answer to a question, asked at that time, whether a process is ready.
func (c *Checker) ReadinessReported(now, requestedAt int64, process string, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.process(process)
	switch {
	case ready && p.drainedSince != 0 && requestedAt > p.drainedSince+c.config.TimeTolerance:
		c.report(violated(RuleDrainedNotReady, now, process,
			"ready %.2f s after the call to drain", seconds(requestedAt-p.drainedSince)))
	case ready:
		p.resumedAt = 0
	case p.resumedAt != 0 && requestedAt > p.resumedAt+resumeTimeout+c.config.TimeTolerance:
		c.report(violated(RuleResumed, now, process,
			"not ready %.2f s after the drain", seconds(requestedAt-p.resumedAt)))
		p.resumedAt = 0
	}
}

// ConnectionOpened records a client's connection to a process.
func (c *Checker) ConnectionOpened(now int64, connection, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections[connection] = &connectionView{
		process:     process,
		setups:      map[string]int64{},
		established: map[string]bool{},

		unusedSince: now,
	}
}

// ConnectionClosed records the end of a client's connection.
func (c *Checker) ConnectionClosed(connection string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.connections, connection)
}

// SetupOpened records the last byte of a set-up on a connection.
func (c *Checker) SetupOpened(now int64, connection, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if view := c.connections[connection]; view != nil {
		view.setups[id] = now
		view.touch(now)
	}
}

// SetupSettled records that a set-up on a connection is open no more, and whether its call is established.
func (c *Checker) SetupSettled(now int64, connection, id string, established bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if view := c.connections[connection]; view != nil {
		delete(view.setups, id)
		if established {
			view.established[id] = true
		}
		view.touch(now)
	}
}

// CallCleared records that a call that a connection set up is established no more.
func (c *Checker) CallCleared(now int64, connection, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if view := c.connections[connection]; view != nil {
		delete(view.established, id)
		view.touch(now)
	}
}

// CheckEmptied checks the connections of a process that is drained for emptyTimeout or longer. A connection counts as
// idle, and a set-up as carried, for longer than the tolerance: callers go on sending on a connection that stays open
// for an established call, a set-up that is refused at once is open for a moment, and so is a connection whose last
// call ends.
func (c *Checker) CheckEmptied(now int64, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.process(process).drainedSince
	if since == 0 || now < since+emptyTimeout+c.config.TimeTolerance {
		return
	}
	for name, connection := range c.connections {
		if connection.process != process {
			continue
		}
		if connection.unusedSince > 0 && now > connection.unusedSince+c.config.TimeTolerance {
			c.report(violated(RuleDrainedEmpty, now, process, "connection %s is idle", name))
		}
		for id, at := range connection.setups {
			age := now - at
			if age < recentSetup-c.config.TimeTolerance && age > c.config.TimeTolerance {
				c.report(violated(RuleDrainedEmpty, now, id, "a recent set-up on connection %s", name))
			}
		}
	}
}
