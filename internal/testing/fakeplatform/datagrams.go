package fakeplatform

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

const (
	// maxDatagram is the longest datagram that the platform delivers, in bytes.
	maxDatagram = 256
	// datagramBuffer holds longer ones as well, so that they are seen.
	datagramBuffer = 2048
)

// Fault is what happens to the datagrams from one member to another.
type Fault struct {
	Partitioned bool
	Loss        float64 // the fraction that is lost
	Delay       time.Duration
}

// Datagrams is the network between the datagram sockets of a fleet's members, on loopback, as the platform gives it:
// each member sends to one address for each other member, and receives from each other member from just that address.
// The network relays the datagrams, and loses or delays them by the faults set. It learns where a member listens from
// what the member sends, so a member that restarts may listen elsewhere.
type Datagrams struct {
	members int
	sockets [][]*net.UDPConn // [from][to]: where from sends what is for to
	relays  sync.WaitGroup

	mu        sync.Mutex
	addresses []netip.AddrPort // where each member listens
	faults    func(from, to int) Fault
	random    *rand.Rand
	relayed   int
	tooLong   int
}

// NewDatagrams opens the network of so many members; it is closed with the test. The seed decides which datagrams are
// lost.
func NewDatagrams(tb testing.TB, members int, seed uint64) *Datagrams {
	tb.Helper()
	network := &Datagrams{
		members:   members,
		addresses: make([]netip.AddrPort, members),
		random:    rand.New(rand.NewPCG(seed, 0)),
		faults:    noFaults,
	}
	for range members {
		network.sockets = append(network.sockets, openSockets(tb, members))
	}
	for from := range members {
		for to := range members {
			network.relays.Go(func() { network.relay(from, to) })
		}
	}
	tb.Cleanup(network.close)
	return network
}

// openSockets opens so many loopback sockets.
func openSockets(tb testing.TB, count int) []*net.UDPConn {
	tb.Helper()
	loopback := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))
	sockets := make([]*net.UDPConn, count)
	for i := range sockets {
		socket, err := net.ListenUDP("udp4", loopback)
		if err != nil {
			tb.Fatal(err)
		}
		sockets[i] = socket
	}
	return sockets
}

func (d *Datagrams) close() {
	for _, row := range d.sockets {
		for _, socket := range row {
			_ = socket.Close()
		}
	}
	d.relays.Wait()
}

// Peers are the addresses that a member's configuration names, by member number.
func (d *Datagrams) Peers(member int) []string {
	peers := make([]string, d.members)
	for to := range peers {
		peers[to] = d.sockets[member][to].LocalAddr().String()
	}
	return peers
}

// SetFaults replaces the faults; the function returns that from one member to another.
func (d *Datagrams) SetFaults(faults func(from, to int) Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// Heal removes all faults.
func (d *Datagrams) Heal() { d.SetFaults(noFaults) }

func noFaults(int, int) Fault { return Fault{} }

// CheckSizes returns an error if any datagram was longer than the platform delivers.
func (d *Datagrams) CheckSizes() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tooLong > 0 {
		return fmt.Errorf("%d of %d datagrams were longer than %d bytes", d.tooLong, d.relayed, maxDatagram)
	}
	return nil
}

// relay delivers the datagrams from one member to another until the socket is closed.
func (d *Datagrams) relay(sender, receiver int) {
	buffer := make([]byte, datagramBuffer)
	for {
		n, source, err := d.sockets[sender][receiver].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || sender == receiver {
			continue
		}
		delay, address, lost := d.route(sender, receiver, n, source)
		if lost {
			continue
		}
		datagram := bytes.Clone(buffer[:n])
		deliver := func() { _, _ = d.sockets[receiver][sender].WriteToUDPAddrPort(datagram, address) }
		if delay > 0 {
			time.AfterFunc(delay, deliver)
		} else {
			deliver()
		}
	}
}

// route decides whether and when a datagram is delivered, and to which address.
func (d *Datagrams) route(from, to, length int, source netip.AddrPort) (time.Duration, netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relayed++
	if length > maxDatagram {
		d.tooLong++
	}
	d.addresses[from] = source
	fault, address := d.faults(from, to), d.addresses[to]
	lost := fault.Partitioned || d.random.Float64() < fault.Loss || !address.IsValid()
	return fault.Delay, address, lost
}
