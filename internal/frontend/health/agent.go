package health

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"eidertrail/internal/panicguard"
)

const (
	maxAgentConns = 16 // at a time; more than balancers make
	// acceptRetryDelay is how long ServeAgent waits after an Accept that failed, such as for want of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
)

// ServeAgent answers each connection with one line and closes it, until the listener is closed. What an agent sends is
// not read. It returns nil when every connection has ended.
func ServeAgent(l net.Listener, check Check) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	slots := make(chan struct{}, maxAgentConns)
	for {
		agent, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			agent.Close()
			continue
		}
		connections.Go(func() {
			defer func() { <-slots }()
			defer agent.Close()
			_ = panicguard.Run(func() { answerAgent(agent, check) }) // the agent asks again
		})
	}
}

func answerAgent(agent net.Conn, check Check) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	line := check(ctx).AgentLine()
	if agent.SetDeadline(time.Now().Add(checkTimeout)) == nil {
		_, _ = agent.Write([]byte(line)) // an agent that has disconnected polls again
	}
}
