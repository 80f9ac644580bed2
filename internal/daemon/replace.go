package daemon

import (
	"eidertrail/internal/handover/runner"
)

// replaceable is a daemon as the handover sees it. It implements runner.Controller.
type replaceable struct{ *Daemon }

var _ runner.Controller = replaceable{}

// Prepared implements runner.Controller.
func (r replaceable) Prepared() bool {
	r.state() // notes that it serves, if it accepts already
	return r.prepared()
}

// DivideLimits implements runner.Controller.
func (r replaceable) DivideLimits(view runner.View) { r.divideLimits(view) }

// CatchUp implements runner.Controller.
func (r replaceable) CatchUp() { r.callers.CatchUp() }

// Accepting implements runner.Controller.
func (r replaceable) Accepting() {
	if r.servingLogged.CompareAndSwap(false, true) {
		r.logServing()
	}
	r.state()
	if r.files.cluster == nil || r.member.current() != nil {
		return
	}
	r.goroutines.Go(func() {
		if err := r.awaitFleet(r.loop); err != nil {
			r.log.Error().Err(err).Msg("not a member of the fleet")
		}
	})
}

// Yielding implements runner.Controller.
func (r replaceable) Yielding() { r.member.yield() }

// Replaced implements runner.Controller.
func (r replaceable) Replaced() {
	r.lifecycle.Replace(r.clock.Now())
	r.calls.RelayPendingEnds()
}

// TakeBack implements runner.Controller.
func (r replaceable) TakeBack() { r.lifecycle.TakeBack(r.clock.Now()) }

// CallIDsTaken implements runner.Controller.
func (r replaceable) CallIDsTaken(ids []string) { r.calls.TakeForeignIDs(ids) }

// KnownCallIDs implements runner.Controller.
func (r replaceable) KnownCallIDs() []string { return r.calls.KnownIDs() }

// EndRelayed implements runner.Controller.
func (r replaceable) EndRelayed(id string, cause int) { r.calls.EndRelayed(id, cause) }
