package dispatch

import "eidertrail/internal/telemetry"

// admission decides which set-ups a call table takes. The table's mutex guards it.
type admission struct {
	maxCalls    int         // open or established at a time
	draining    func() bool // the controller is being emptied; nil: it never is
	calls       *callRegistry
	connections *connectionRegistry
	counters    *telemetry.Counters
}

// admit decides on a valid set-up of a connection, nil for one that is not connected. Without an error, a set-up that
// is not admitted is owed nothing.
func (a *admission) admit(conn *connection, id string) (admitted bool, err error) {
	switch {
	case a.calls.isTaken(id):
		// This comes first: a rejection would be read as the final answer to the call that has this id.
		a.counters.Add(telemetry.Duplicates)
		return false, ErrDuplicateID
	case a.draining != nil && a.draining():
		return false, ErrDraining
	case a.calls.count() >= a.maxCalls:
		return false, ErrTooManyCalls
	case conn == nil:
		return false, nil // the caller has left meanwhile, or sends again what crossed the closing of its connection
	case a.calls.cancelledEarly(id):
		// Its cancel was read first, on another connection: without this check it is set up for nobody.
		a.calls.markEnded(id)
		a.counters.Add(telemetry.CancelledCalls)
		return false, nil
	}
	if err := a.connections.checkCapacity(conn); err != nil {
		return false, err
	}
	return true, nil
}
