package dispatch

// Connect adds a connection. Until it is verified it gets copies of the ends of calls at most, where nobody else could
// be notified for a while: it may be that of a tester, who knows of no calls, or of a faulty client.
func (t *CallTable) Connect(c CallerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends.deliverPendingTo(t.connections.add(c))
}

// MarkEstablished notes that a connection is one of callers; one on which a call was answered is so by itself. Ends
// of calls that waited for one leave on it.
func (t *CallTable) MarkEstablished(c CallerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn := t.connections.find(c); conn != nil {
		t.verify(conn)
	}
}

// verify verifies a connection and delivers the pending ends on it. The caller holds mu.
func (t *CallTable) verify(conn *connection) {
	if conn.verified {
		return
	}
	t.connections.verify(conn)
	t.ends.deliverPending()
}

// ConnState returns how many open set-ups a connection has, how many calls that it set up are established, and whether
// it is verified.
func (t *CallTable) ConnState(c CallerConn) (open, established int, verified bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn := t.connections.find(c); conn != nil {
		return conn.unsettled, conn.established, conn.verified
	}
	return 0, 0, false
}

// Owns reports whether a call is known that was set up on this connection.
func (t *CallTable) Owns(c CallerConn, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	call := t.calls.find(id)
	return call != nil && call.conn.CallerConn == c
}

// Disconnect removes a connection. Its open set-ups are abandoned, as their caller has left: an attempt in flight is
// called off. Its established calls go on; their ends are delivered on another connection.
func (t *CallTable) Disconnect(c CallerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.connections.find(c)
	if conn == nil {
		return
	}
	t.remove(conn)
	if conn.unsettled == 0 {
		return
	}
	for _, call := range t.calls.byID {
		if call.conn == conn && call.state != tableCallEstablished {
			call.abandon()
		}
	}
}

// Retire removes a connection that is owed no final answer, and reports whether it is gone: no set-up on it is taken
// from then on.
func (t *CallTable) Retire(c CallerConn) bool {
	return t.retire(c, func(conn *connection) bool { return conn.unsettled == 0 })
}

// RetireUnused is Retire for a connection on which no call that it set up is established either: the end of such a call
// can be delivered on it.
func (t *CallTable) RetireUnused(c CallerConn) bool {
	return t.retire(c, func(conn *connection) bool { return conn.unsettled+conn.established == 0 })
}

func (t *CallTable) retire(c CallerConn, unused func(conn *connection) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.connections.find(c)
	if conn == nil {
		return true
	}
	if !unused(conn) {
		return false
	}
	t.remove(conn)
	return true
}

// remove removes a connection and has delivered elsewhere what it may not have read. The caller holds mu.
func (t *CallTable) remove(conn *connection) {
	t.connections.remove(conn)
	t.ends.closed(conn)
}
