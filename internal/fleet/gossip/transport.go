package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// datagram is one that was read; the zero value is none.
type datagram struct {
	from  netip.AddrPort
	bytes []byte
}

// resolvePeers returns the peers' addresses, by member number.
func resolvePeers(peers []string, members int) ([]netip.AddrPort, error) {
	if len(peers) != members {
		return nil, fmt.Errorf("cluster: peers: %d addresses for %d members", len(peers), members)
	}
	addresses := make([]netip.AddrPort, 0, len(peers))
	for i, peer := range peers {
		address, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			return nil, fmt.Errorf("cluster: peers[%d]: %w", i, err)
		}
		addresses = append(addresses, unmapped(address.AddrPort()))
	}
	return addresses, nil
}

// listen opens the socket.
func listen(address string) (*net.UDPConn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("cluster: peer_listen: %w", err)
	}
	conn, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, fmt.Errorf("cluster: peer_listen: %w", err)
	}
	return conn, nil
}

// unmapped returns the address with an IPv4 address in its own form, so that addresses from configuration and from the
// socket compare equal.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// read passes datagrams to the loop until the socket is closed.
func (r *Runner) read() {
	defer r.goroutines.Done()
	buffer := make([]byte, swim.MaxDatagram+1) // so that a datagram that is too long is not cut to a valid length
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as the ICMP error of a peer that does not listen
			continue
		}
		r.cfg.Counters.Add(telemetry.PeerIn)
		select {
		case r.received <- datagram{from: unmapped(from), bytes: append([]byte(nil), buffer[:n]...)}:
		default:
			r.cfg.Counters.Add(telemetry.PeerDropped)
		}
	}
}

// receive handles a datagram.
func (r *Runner) receive(now int64, d datagram) {
	m, err := r.parse(d)
	if err != nil {
		r.cfg.Counters.Add(telemetry.PeerBad)
		r.cfg.Log.Warn().Err(err).Stringer("from", d.from).Msg("bad datagram")
		return
	}
	r.node.Receive(now, m)
	if m.Kind == swim.User {
		r.deliver(now, m.From, m.Body)
	}
}

// parse decodes a datagram, and checks that it comes from the address of the member that it names.
func (r *Runner) parse(d datagram) (swim.Message, error) {
	m, err := swim.Parse(d.bytes, r.fleet)
	if err == nil && (m.From >= len(r.peers) || r.peers[m.From] != d.from) {
		err = fmt.Errorf("%w: from %s, which is not member %d's address", swim.ErrDatagram, d.from, m.From)
	}
	return m, err
}

// sendBody sends a protocol's message to a member.
func (r *Runner) sendBody(to int, body []byte) {
	r.write(swim.Envelope{To: to, Message: swim.Message{
		Kind:        swim.User,
		From:        r.cfg.Node.Self,
		Incarnation: r.node.Incarnation(),
		Body:        body,
	}})
}

// write sends a message.
func (r *Runner) write(envelope swim.Envelope) {
	encoded, err := envelope.Append(make([]byte, 0, swim.MaxDatagram), r.fleet)
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("datagram not sent")
		return
	}
	r.cfg.Counters.Add(telemetry.PeerOut)
	r.cfg.Counters.AddN(telemetry.PeerBytesOut, int64(len(encoded)))
	if _, err := r.conn.WriteToUDPAddrPort(encoded, r.peers[envelope.To]); err != nil {
		r.cfg.Counters.Add(telemetry.PeerUnsent) // the protocols take it for a datagram lost on its way
	}
}
