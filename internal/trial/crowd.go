package trial

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"eidertrail/internal/trial/plan"
)

// crowdSize is how many connections a crowd has for each of a fault's count.
const crowdSize = 80

// crowdText is what a connection of a crowd sends.
func crowdText(sign plan.CrowdSign) string {
	switch sign { //nolint:exhaustive // a member's sign is one of these
	case plan.CrowdPart:
		return `{"type":"setup","id":"`
	case plan.CrowdPing:
		return `{"type":"ping","id":"p","cause":0}` + "\n"
	case plan.CrowdRefusedSetup:
		return `{"type":"setup","id":"00000000000000f4","fields":{"class":"none","left":"1000"},"sdp":""}` + "\n"
	}
	return ""
}

// crowd opens connections that are no callers', each again once it is closed, until the fault is over.
func (p *process) crowd(ctx context.Context, fault plan.Fault) {
	ctx, cancel := context.WithTimeout(ctx, fault.Duration)
	defer cancel()
	var members sync.WaitGroup
	size := fault.Count * crowdSize
	for number := range size {
		text := crowdText(fault.Sign.Of(number))
		members.Go(func() {
			sleep(ctx, fault.Pause*time.Duration(number)/time.Duration(size)) // they come one after another
			p.crowdMember(ctx, text, fault.Pause)
		})
	}
	members.Wait()
}

// crowdMember is one of a crowd. What it receives is read, and means nothing to it.
func (p *process) crowdMember(ctx context.Context, text string, pause time.Duration) {
	for more := true; more; more = sleep(ctx, pause) {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.world.network.process(p.index))
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		_, _ = io.WriteString(conn, text) // one that is closed meanwhile connects again
		_, _ = io.Copy(io.Discard, conn)
		stop()
		conn.Close()
	}
}

// stayAway has all callers of a process close their connections, and open no other to it for a while.
func (c *callers) stayAway(ctx context.Context, target *process, duration time.Duration) {
	if duration == 0 {
		return
	}
	c.mu.Lock()
	c.away[target]++
	var open []*clientConn
	for conn := range c.conns {
		if conn.process == target {
			open = append(open, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range open {
		conn.close("its callers are away")
	}
	sleep(ctx, duration)
	c.mu.Lock()
	c.away[target]--
	c.mu.Unlock()
	c.world.timeline.add("callers", "back at "+target.name)
}

// isAway reports whether callers open no connection to a process.
func (c *callers) isAway(target *process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.away[target] > 0
}
