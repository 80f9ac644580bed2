package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"testing"
)

const (
	// minPort is the first port that needs no privileges, with some distance for well-known services.
	minPort = 10_000
	// defaultEphemeralPort is the first port that Linux gives to those who ask for any.
	defaultEphemeralPort = 32_768
	// maxReservations is how many ports are tried before a test fails.
	maxReservations = 1_000
)

// reserveAddress is an address of 127.0.0.1 that nobody listens on, for a process that binds it later and again after
// each restart.
//
// A port that the system chose for a listener may be given to another one, or to a connection, as soon as that listener
// is closed, and the process would fail with "address already in use". The port is therefore one that the system gives
// to nobody by itself, and until the test ends a listener on the same port of 127.0.0.2 keeps other tests, in this
// process or another, from choosing it.
func reserveAddress(t *testing.T) string {
	t.Helper()
	below := firstEphemeralPort(t)
	for range maxReservations {
		port := minPort + rand.IntN(below-minPort)
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
		if err != nil {
			continue // another test's
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		probe, err := net.Listen("tcp", address)
		if err != nil {
			reservation.Close()
			continue // another program's
		}
		probe.Close()
		t.Cleanup(func() { reservation.Close() })
		return address
	}
	t.Fatalf("none of %d ports from %d to %d is free", maxReservations, minPort, below-1)
	return ""
}

// firstEphemeralPort is the first port that the system gives to those who ask for any.
func firstEphemeralPort(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultEphemeralPort
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil || first <= minPort {
		t.Fatalf("ports for any listener are %q, none from %d on is free of them: %v", text, minPort, err)
	}
	return first
}

func TestReserveAddress_NeverTwiceAndNeverEphemeral(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		address := reserveAddress(t)
		if seen[address] {
			t.Fatalf("%s is reserved twice", address)
		}
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("%s cannot be bound: %v", address, err)
		}
		if port := listener.Addr().(*net.TCPAddr).Port; port >= firstEphemeralPort(t) {
			t.Errorf("port %d may be given to any listener", port)
		}
		listener.Close()
	}
}
