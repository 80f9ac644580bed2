package sippool

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

// TCP keep-alive of the connections that Config dials by default.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Config configures Pools.
type Config struct {
	Name           string // of this controller, in Via
	ConnectTimeout int64  // how long an attempt waits for a connection, in microseconds
	ReportFree     string // load report field with the number of free agents
	ReportAgents   string // load report field with the number of agents
	ReportCapacity string // load report field with the pool's capacity in set-ups a second over all controllers, "": none
	Clock          dispatch.Clock
	Log            zerolog.Logger
	Counters       *telemetry.Counters

	// Dial opens a connection. If nil, TCP is dialled.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnLoadReport, if set, is called with each load report that a pool sends in a NOTIFY.
	OnLoadReport func(uid string, report dispatch.LoadReport)
	// OnCapacity, if set, is called with the ReportCapacity field of every message that has it.
	OnCapacity func(uid string, rate float64)
	// OnUnmatchedRelease, if set, is called for a pool's release of a call that this process did not set up.
	OnUnmatchedRelease func(id string, cause int)
}

// dialTCP dials TCP with keep-alive probes, so that the loss of a machine is noticed on an idle connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}
