package fakeplatform

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// Fault is what happens to the datagrams from one member to another.
type Fault struct {
	Cut   bool
	Loss  float64       // the share that is lost
	Delay time.Duration // each is late by this
}

// Datagrams is the network between the datagram sockets of a fleet's members, on loopback, as the platform
// gives it: each member sends to an address for each other one, and hears each other from just that address.
// It stands in between, and loses, delays and cuts as it is told. Where a member listens is learnt from what
// it sends, so a member that starts anew may listen elsewhere.
type Datagrams struct {
	members int
	sockets [][]*net.UDPConn // [from][to]: where from sends what is for to
	wg      sync.WaitGroup

	mu     sync.Mutex
	at     []netip.AddrPort // where each member listens
	faults func(from, to int) Fault
	rng    *rand.Rand
	passed int
	long   int // datagrams of over 256 bytes
}

// NewDatagrams opens the network of so many members; it is closed with the test. What is lost is drawn from seed.
func NewDatagrams(t testing.TB, members int, seed uint64) *Datagrams {
	d := &Datagrams{
		members: members, at: make([]netip.AddrPort, members), rng: rand.New(rand.NewPCG(seed, 0)),
		faults: func(int, int) Fault { return Fault{} },
	}
	for range members {
		row := make([]*net.UDPConn, members)
		for to := range members {
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			row[to] = c
		}
		d.sockets = append(d.sockets, row)
	}
	for from := range members {
		for to := range members {
			d.wg.Add(1)
			go d.carry(from, to)
		}
	}
	t.Cleanup(func() {
		for _, row := range d.sockets {
			for _, c := range row {
				c.Close()
			}
		}
		d.wg.Wait()
	})
	return d
}

// Peers are the addresses that a member's configuration names, by member number.
func (d *Datagrams) Peers(member int) []string {
	var peers []string
	for to := range d.members {
		peers = append(peers, d.sockets[member][to].LocalAddr().String())
	}
	return peers
}

// Set puts a fault on every way for which it is told one.
func (d *Datagrams) Set(faults func(from, to int) Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// Heal takes all faults away.
func (d *Datagrams) Heal() { d.Set(func(int, int) Fault { return Fault{} }) }

// Check tells what no datagram may be: longer than the platform lets it.
func (d *Datagrams) Check() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.long > 0 {
		return fmt.Errorf("%d of %d datagrams were longer than 256 bytes", d.long, d.passed)
	}
	return nil
}

func (d *Datagrams) carry(from, to int) {
	defer d.wg.Done()
	buffer := make([]byte, 2048)
	for {
		n, source, err := d.sockets[from][to].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || from == to {
			continue
		}
		d.mu.Lock()
		if d.passed++; n > 256 {
			d.long++
		}
		d.at[from] = source
		f, at := d.faults(from, to), d.at[to]
		lost := f.Cut || d.rng.Float64() < f.Loss || !at.IsValid()
		d.mu.Unlock()
		if lost {
			continue
		}
		bytes := append([]byte(nil), buffer[:n]...)
		deliver := func() { d.sockets[to][from].WriteToUDPAddrPort(bytes, at) }
		if f.Delay > 0 {
			time.AfterFunc(f.Delay, deliver)
		} else {
			deliver()
		}
	}
}
