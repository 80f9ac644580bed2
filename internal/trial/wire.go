package trial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"eidertrail/internal/frontend/linecodec"
)

// pingTimeout bounds the answer to a question whether a process is ready.
const pingTimeout = time.Second

var errUnexpected = errors.New("trial: an unexpected answer")

// ping asks on a connection, a new one where there is none, whether a process is ready. After an error the connection
// is given up.
func ping(ctx context.Context, conn *net.Conn, address string) (ready bool, err error) {
	if *conn == nil {
		dialer := net.Dialer{Timeout: pingTimeout}
		if *conn, err = dialer.DialContext(ctx, "tcp", address); err != nil {
			*conn = nil
			return false, fmt.Errorf("trial: %w", err)
		}
	}
	defer func() {
		if err != nil {
			(*conn).Close()
			*conn = nil
		}
	}()
	(*conn).SetDeadline(time.Now().Add(pingTimeout))
	if _, err := (*conn).Write(linecodec.AppendCause(nil, linecodec.TypePing, "p", 0)); err != nil {
		return false, fmt.Errorf("trial: %w", err)
	}
	reader := bufio.NewReader(*conn)
	for {
		line, err := linecodec.ReadLine(reader, nil)
		if err != nil {
			return false, err
		}
		message, err := linecodec.Parse(line)
		switch {
		case err != nil:
			return false, err
		case message.Type == linecodec.TypePong:
			return message.Cause == 1, nil
		case message.Type != linecodec.TypeRelease:
			return false, errUnexpected
		}
	}
}
