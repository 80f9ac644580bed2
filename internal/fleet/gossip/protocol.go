package gossip

import (
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/remedy"
	"eidertrail/internal/telemetry"
)

// Send sends a protocol's message to a member, without any guarantee that it arrives.
type Send func(to int, body []byte)

// Protocol is a protocol between the members whose messages the gossip datagrams carry. A message tells by its first
// byte whose it is. MembersChanged is called once by Start; from then on the loop goroutine alone calls the methods,
// and none may block. Times are in µs of the Config's Clock.
type Protocol interface {
	// MembersChanged is called with all members, by number, whenever one has changed.
	MembersChanged(now int64, members []swim.Member)
	// Receive is called with the messages of other members until a protocol says that one is its own. An error is counted
	// and logged.
	Receive(now int64, from int, body []byte) (own bool, err error)
	// Tick is called each ProtocolInterval, and sends what is due.
	Tick(now int64, send Send)
}

// membersChanged passes the members on to the protocols.
func (r *Runner) membersChanged(now int64, members []swim.Member) {
	for _, p := range r.cfg.Protocols {
		p.MembersChanged(now, members)
	}
}

// deliver passes a message on to the protocol that it belongs to. One that is none's is of a newer program, and is
// ignored.
func (r *Runner) deliver(now int64, from int, body []byte) {
	for _, p := range r.cfg.Protocols {
		own, err := p.Receive(now, from, body)
		if err != nil {
			r.cfg.Counters.Add(telemetry.PeerBad)
			r.cfg.Log.Warn().Err(err).Int("member", from).Str("remedy", remedy.Of(err)).Msg("invalid member message")
		}
		if own {
			return
		}
	}
}

// protocolsTick reports whether the protocols have to be ticked at all.
func (r *Runner) protocolsTick() bool { return len(r.cfg.Protocols) > 0 && r.cfg.ProtocolInterval > 0 }

// tickProtocols ticks the protocols if that is due.
func (r *Runner) tickProtocols(now int64) {
	if !r.protocolsTick() || now < r.nextProtocolTick {
		return
	}
	r.nextProtocolTick = now + r.cfg.ProtocolInterval.Microseconds()
	for _, p := range r.cfg.Protocols {
		p.Tick(now, r.sendBody)
	}
}
