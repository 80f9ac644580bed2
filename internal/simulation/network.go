package simulation

// poolDelay draws how long a message takes from a controller to a pool, or back.
func (s *simulator) poolDelay(c *controller, p *PoolModel) int64 {
	bounds := s.scenario.Network.Near
	if c.zone != p.Zone {
		bounds = s.scenario.Network.Far
	}
	return s.random.between(bounds, networkStream)
}

// sendDatagram has a datagram arrive at a member of the fleet, or lost.
func (s *simulator) sendDatagram(to int, handle func(c *controller)) {
	s.recorder.result.Datagrams++
	if s.random[fleetStream].Float64() < s.peerLoss {
		return
	}
	receiver := s.controllers[to]
	s.after(s.random.between(s.scenario.Network.PeerDelay, fleetStream), func() {
		receiver.receive(func() {
			handle(receiver)
			receiver.gossip()
		})
	})
}
