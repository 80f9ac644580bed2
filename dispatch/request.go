package dispatch

import "eidertrail"

// Request is a call that wants an endpoint.
type Request struct {
	Call     uint64 // from NewCall
	Class    int
	Group    int    // the pool group of first choice
	Key      uint64 // the number called, 0 for none
	Deadline int64  // the caller stops waiting then
}

// LoadReport is an endpoint's report of its load. A value that it does not report is negative.
type LoadReport struct{ Free, Agents float64 }

// UnknownLoad is the report without any value.
var UnknownLoad = LoadReport{-1, -1} //nolint:gochecknoglobals // a constant of a struct type

// Result is what became of an attempt.
type Result struct {
	Call       uint64
	Attempt    int
	Endpoint   string
	Outcome    Outcome
	Took       int64 // since Decision.DecidedAt
	Load       LoadReport
	CallerGone bool // the caller has left: nothing more is owed
	InDoubt    bool // a message of the attempt may still be on its way: no further one may go to this endpoint
}

// Endpoint is a line of the endpoint list.
type Endpoint struct {
	UID       string
	Group     int
	Zone      string // for routing, "" if not known
	StartedAt int64  // clock reading of its start, 0: long ago
	Mode      eidertrail.Mode
}

// server is the endpoint as the module is notified of it.
func (e Endpoint) server(available availability) eidertrail.Server {
	return eidertrail.Server{
		ID:            eidertrail.ServerID(e.UID),
		StartedAt:     duration(e.StartedAt),
		Mode:          available.mode,
		Pool:          e.Group,
		DeniedClasses: uint64(available.denied),
	}
}
