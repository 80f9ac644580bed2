package main

import (
	"net"
	"time"
)

// startDelay passes connections on to an address, each byte so much later, in either direction: the way between two
// regions. It drops and reorders nothing.
func startDelay(address string, oneWay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				near.Close()
				continue
			}
			go passOn(near, far, oneWay)
			go passOn(far, near, oneWay)
		}
	}()
	return listener.Addr().String(), nil
}

type chunk struct {
	due   time.Time
	bytes []byte
	end   bool
}

func passOn(from, to net.Conn, oneWay time.Duration) {
	chunks := make(chan chunk, 4096)
	go func() {
		for c := range chunks {
			time.Sleep(time.Until(c.due))
			if c.end {
				to.Close()
				return
			}
			if _, err := to.Write(c.bytes); err != nil {
				from.Close()
				for range chunks { // until the reader has ended
				}
				return
			}
		}
	}()
	defer close(chunks)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{due: time.Now().Add(oneWay), bytes: append([]byte(nil), buffer[:n]...)}
		}
		if err != nil {
			chunks <- chunk{due: time.Now().Add(oneWay), end: true}
			return
		}
	}
}
