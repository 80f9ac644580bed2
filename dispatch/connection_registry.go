package dispatch

import "slices"

const (
	// maxUnsettled bounds the open set-ups of a connection, maxUnverified those of one that is not verified, and
	// maxAllUnverified those of all such connections together: a flood of set-ups that no endpoint can process must not
	// take the places of callers that are served.
	maxUnsettled     = 1024
	maxUnverified    = 64
	maxAllUnverified = 192
	// maxErrors is how many set-ups of a connection that is not verified the endpoints may fail to process before it
	// gets no more of their time.
	maxErrors = 4
)

// connectionRegistry holds the connections of a call table. The table's mutex guards it.
type connectionRegistry struct {
	byConn         map[CallerConn]*connection
	inOrder        []*connection // the oldest first
	unverifiedOpen int           // open set-ups of connections that are not verified
}

func newConnectionRegistry() *connectionRegistry {
	return &connectionRegistry{byConn: map[CallerConn]*connection{}}
}

// find returns the state of a connection, nil if it is not connected.
func (r *connectionRegistry) find(c CallerConn) *connection { return r.byConn[c] }

// contains reports whether a connection is still connected.
func (r *connectionRegistry) contains(conn *connection) bool {
	return r.byConn[conn.CallerConn] == conn
}

// count is the number of connections.
func (r *connectionRegistry) count() int { return len(r.inOrder) }

// add adds a connection, which is not verified, and returns its state.
func (r *connectionRegistry) add(c CallerConn) *connection {
	conn := &connection{CallerConn: c}
	r.byConn[c] = conn
	r.inOrder = append(r.inOrder, conn)
	return conn
}

// remove removes a connection.
func (r *connectionRegistry) remove(conn *connection) {
	delete(r.byConn, conn.CallerConn)
	r.inOrder = slices.DeleteFunc(r.inOrder, func(other *connection) bool { return other == conn })
}

// checkCapacity returns an error where the connection may open no further set-up now.
func (r *connectionRegistry) checkCapacity(conn *connection) error {
	switch {
	case conn.unsettled >= maxUnsettled:
		return ErrTooManyCalls
	case conn.verified:
		return nil
	case conn.unsettled >= maxUnverified, r.unverifiedOpen >= maxAllUnverified, conn.errors >= maxErrors:
		return ErrNotEstablished
	default:
		return nil
	}
}

// open counts a set-up that is owed a final answer.
func (r *connectionRegistry) open(conn *connection) {
	conn.unsettled++
	if !conn.verified {
		r.unverifiedOpen++
	}
}

// settle counts a set-up that is owed a final answer no longer.
func (r *connectionRegistry) settle(conn *connection) {
	conn.unsettled--
	if !conn.verified {
		r.unverifiedOpen--
	}
}

// verify verifies a connection.
func (r *connectionRegistry) verify(conn *connection) {
	conn.verified = true
	r.unverifiedOpen -= conn.unsettled
}
