// Characterisation tests of the datagram socket and its loop: they record what the program does today, as the bytes
// that a member writes and what it says of those that it reads, so that a change of names or shape can be shown to
// change nothing. On a purposeful change of behaviour the files are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/fleet/gossip -run TestCharacterization
//
// and the commit has to say why.
package gossip_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"eidertrail/internal/testing/recorded"

	"github.com/rs/zerolog"

	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// ---- recorded files ----

// ---- one member on a socket, the others played by the test ----

const (
	fleetName = "characterization"
	// self is the member that runs; 0 and 2 are the test's.
	self = 1
	// receiveTimeout bounds the wait for a datagram that must come.
	receiveTimeout = 20 * time.Second
)

// fixedClock always returns the same time: nothing comes due but what is due at once.
type fixedClock struct{}

func (fixedClock) Now() int64 { return 1_000_000 }

// peer is a member that the test plays.
type peer struct {
	t      *testing.T
	name   string
	conn   *net.UDPConn
	runner net.Addr
	text   *strings.Builder
}

func newPeer(t *testing.T, name string, text *strings.Builder) *peer {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &peer{t: t, name: name, conn: conn, text: text}
}

// read writes down the next datagram that comes, and returns what it says.
func (p *peer) read(what string) swim.Message {
	p.t.Helper()
	if err := p.conn.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
		p.t.Fatal(err)
	}
	buffer := make([]byte, 2*swim.MaxDatagram)
	n, _, err := p.conn.ReadFromUDP(buffer)
	if err != nil {
		p.t.Fatalf("%s, %s: %v", p.name, what, err)
	}
	fmt.Fprintf(p.text, "%s-%s %x\n", p.name, what, buffer[:n])
	m, err := swim.Parse(buffer[:n], swim.FleetID(fleetName))
	if err != nil {
		p.t.Fatal(err)
	}
	return m
}

func (p *peer) write(b []byte) {
	p.t.Helper()
	if _, err := p.conn.WriteTo(b, p.runner); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) send(m swim.Message) {
	p.t.Helper()
	p.write(encoded(p.t, m, fleetName))
}

func encoded(t *testing.T, m swim.Message, fleet string) []byte {
	t.Helper()
	b, err := m.Append(nil, swim.FleetID(fleet))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// recordingProtocol writes down what the member's loop calls it with; it is read once the loop has ended.
type recordingProtocol struct {
	text strings.Builder
	log  bytes.Buffer
}

func (p *recordingProtocol) Receive(now int64, from int, body []byte) (bool, error) {
	fmt.Fprintf(&p.text, "receive at %d from %d: %x\n", now, from, body)
	return true, nil
}

func (p *recordingProtocol) Tick(_ int64, send gossip.Send) {
	send(0, []byte("every"))
	send(2, make([]byte, swim.MaxBody+1)) // too long: it is logged, and not sent
}

func (p *recordingProtocol) MembersChanged(now int64, members []swim.Member) {
	fmt.Fprintf(&p.text, "view at %d:", now)
	for _, m := range members {
		fmt.Fprintf(&p.text, " %s %d", stateName(m.State), m.Incarnation)
	}
	p.text.WriteString("\n")
}

// stateName is this test's own name of a state.
func stateName(state swim.State) string {
	switch state {
	case swim.Unknown:
		return "unknown"
	case swim.Alive:
		return "alive"
	case swim.Suspect:
		return "suspect"
	case swim.Dead:
		return "dead"
	case swim.Left:
		return "left"
	}
	return fmt.Sprintf("state-%d", uint8(state))
}

// A member starts, probes, answers, relays, hands bodies on, refutes, suspects, passes over what makes no sense, and
// leaves.
func TestCharacterization_MemberOnASocket(t *testing.T) {
	var written strings.Builder
	first, third := newPeer(t, "member-0", &written), newPeer(t, "member-2", &written)
	protocol := &recordingProtocol{}
	counters := &telemetry.Counters{}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	runner, err := gossip.Start(ctx, gossip.Config{
		Node: swim.DefaultConfig(self, 3), Listen: "127.0.0.1:0", Fleet: fleetName,
		Peers:       []string{first.conn.LocalAddr().String(), "127.0.0.1:1", third.conn.LocalAddr().String()},
		Incarnation: 1000, Seed: 7, Clock: fixedClock{}, Log: zerolog.New(&protocol.log), Counters: counters,
		Protocols: []gossip.Protocol{protocol}, ProtocolInterval: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	first.runner, third.runner = runner.Addr(), runner.Addr()

	first.read("start")
	third.read("start")
	first.read("user")
	probe := first.read("probe") // the seed has member 0 probed first
	first.send(swim.Message{Kind: swim.Ack, From: 0, Incarnation: 500, Seq: probe.Seq, Target: 0})

	first.send(swim.Message{Kind: swim.Ping, From: 0, Incarnation: 500, Seq: 11, Target: self})
	first.read("ack")
	first.send(swim.Message{Kind: swim.PingReq, From: 0, Incarnation: 500, Seq: 12, Target: 2})
	relayed := third.read("relayed-ping")
	third.send(swim.Message{Kind: swim.Ack, From: 2, Incarnation: 600, Seq: relayed.Seq, Target: 2})
	first.read("relayed-ack")

	first.send(swim.Message{Kind: swim.User, From: 0, Incarnation: 500, Body: []byte("body")})
	first.send(swim.Message{
		Kind: swim.Gossip, From: 0, Incarnation: 500,
		Updates: []swim.Update{{Member: self, State: swim.Dead, Incarnation: 2000, From: 0}},
	})
	first.send(swim.Message{Kind: swim.Ping, From: 0, Incarnation: 500, Seq: 13, Target: self})
	first.read("ack-with-refutation")

	sendMalformed(t, first)
	first.send(swim.Message{Kind: swim.Ping, From: 0, Incarnation: 500, Seq: 14, Target: self})
	first.read("ack-after-malformed")

	first.send(swim.Message{
		Kind: swim.Gossip, From: 0, Incarnation: 500,
		Updates: []swim.Update{{Member: 2, State: swim.Suspect, Incarnation: 600, From: 0}},
	})
	third.read("ping-of-a-suspect")
	third.send(swim.Message{Kind: swim.Ping, From: 2, Incarnation: 601, Seq: 15, Target: self})
	third.read("ack-of-one-that-refuted")
	first.send(swim.Message{
		Kind: swim.Gossip, From: 0, Incarnation: 500,
		Updates: []swim.Update{{Member: 2, State: swim.Dead, Incarnation: 601, From: 0}},
	})
	first.send(swim.Message{Kind: swim.Ping, From: 0, Incarnation: 500, Seq: 16, Target: self})
	first.read("ack-with-a-death")

	runner.Leave()
	first.read("leave")
	third.read("leave")
	stop()
	runner.Wait()
	recorded.Compare(t, "datagrams.txt", written.String())

	log := strings.NewReplacer(first.conn.LocalAddr().String(), "ADDRESS-OF-0").Replace(protocol.log.String())
	var text strings.Builder
	text.WriteString(protocol.text.String() + log)
	for _, row := range []struct {
		name    string
		counter telemetry.Counter
	}{
		{"in", telemetry.PeerIn},
		{"out", telemetry.PeerOut},
		{"bytes out", telemetry.PeerBytesOut},
		{"bad", telemetry.PeerBad},
		{"dropped", telemetry.PeerDropped},
		{"suspected", telemetry.MembersSuspected},
		{"died", telemetry.MembersDied},
	} {
		fmt.Fprintf(&text, "%s %d\n", row.name, counters.Get(row.counter))
	}
	fmt.Fprintf(&text, "health %d\n", runner.Health())
	recorded.Compare(t, "told.txt", text.String())
}

// sendMalformed sends datagrams that are rejected.
func sendMalformed(t *testing.T, from *peer) {
	t.Helper()
	ping := swim.Message{Kind: swim.Ping, From: 0, Incarnation: 500, Seq: 99, Target: self}
	good := encoded(t, ping, fleetName)
	from.write(good[:len(good)-1])
	from.write(good[:5])
	from.write(make([]byte, swim.MaxDatagram+1))
	from.write(make([]byte, 4*swim.MaxDatagram)) // read up to one byte too many
	from.write(encoded(t, ping, "another fleet"))
	for _, member := range []int{2, 3} { // not the sender's address; no member
		ping.From = member
		from.send(ping)
	}
	ping.From, ping.Kind = 0, 6
	from.send(ping)
}

// What a member that cannot start says.
func TestCharacterization_StartErrors(t *testing.T) {
	var text strings.Builder
	for _, test := range []struct {
		name   string
		change func(c *gossip.Config)
	}{
		{"peers", func(c *gossip.Config) { c.Peers = c.Peers[:1] }},
		{"peer", func(c *gossip.Config) { c.Peers[1] = "127.0.0.1" }},
		{"listen", func(c *gossip.Config) { c.Listen = "127.0.0.1" }},
		{"node", func(c *gossip.Config) { c.Node.ProbeInterval = 0 }},
	} {
		config := gossip.Config{
			Node: swim.DefaultConfig(0, 2), Listen: "127.0.0.1:0", Peers: []string{"127.0.0.1:1", "127.0.0.1:2"},
			Clock: fixedClock{}, Counters: &telemetry.Counters{}, Log: zerolog.Nop(),
		}
		test.change(&config)
		if _, err := gossip.Start(t.Context(), config); err != nil {
			fmt.Fprintf(&text, "%s: %s\n", test.name, err.Error())
		} else {
			t.Errorf("%s: it started", test.name)
		}
	}
	recorded.Compare(t, "start-errors.txt", text.String())
}
