package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"eidertrail/internal/config"
	"eidertrail/internal/frontend/health"
	"eidertrail/internal/frontend/websocket"
)

// Bounds of the HTTP servers.
const (
	headerTimeout  = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// openCallControl opens the WebSocket front and what load balancers ask, each where the file has an address for it, and
// serves them. Its parts are added to closers as they are opened.
func (d *Daemon) openCallControl(ctx context.Context, file *config.CallControl) error {
	if file.Listen != "" {
		if err := d.openWebSocket(ctx, file); err != nil {
			return err
		}
	}
	if file.Health != "" {
		listener, err := d.listen(ctx, "health", file.Health)
		if err != nil {
			return err
		}
		d.serveHTTP(listener, maxExtraConnections, health.Handler(d.status, d.snapshot))
	}
	if file.AgentCheck != "" {
		listener, err := d.listen(ctx, "agent_check", file.AgentCheck)
		if err != nil {
			return err
		}
		d.goroutines.Go(func() { _ = health.ServeAgent(listener, d.status) }) // until its listener is closed
		d.closers = append(d.closers, func() { listener.Close() })
	}
	return nil
}

func (d *Daemon) openWebSocket(ctx context.Context, file *config.CallControl) error {
	listener, err := d.listen(ctx, "listen", file.Listen)
	if err != nil {
		return err
	}
	d.sockets = websocket.New(websocket.Config{
		Dispatcher:     d.dispatcher,
		Inviter:        d.pools,
		Lifecycle:      d.lifecycle,
		Ready:          d.ready,
		Origins:        file.Origins,
		MaxConnections: file.MaxConnections,
		Log:            d.peerLog,
		Counters:       d.counters,
	})
	mux := http.NewServeMux()
	mux.Handle("GET "+file.Path, d.sockets)
	d.serveHTTP(listener, file.MaxConnections+maxExtraConnections, mux)
	return nil
}

// listen opens the address of a field of the call control file, and notes where.
func (d *Daemon) listen(ctx context.Context, field, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, config.WrapError(config.CallControlFile, field, err)
	}
	d.addresses[field] = listener.Addr().String()
	d.log.Info().Str("address", d.addresses[field]).Str("field", field).Msg("listening")
	return listener, nil
}

// serveHTTP serves at most so many connections at a time until the daemon stops.
func (d *Daemon) serveHTTP(listener net.Listener, maxConnections int, handler http.Handler) {
	listener = netutil.LimitListener(listener, maxConnections)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	d.goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.peerLog.Warn().Err(err).Msg("http server ended")
		}
	})
	d.closers = append(d.closers, func() { server.Close() })
}
