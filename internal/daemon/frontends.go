package daemon

import (
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"eidertrail/internal/config"
	"eidertrail/internal/frontend/health"
	"eidertrail/internal/frontend/websocket"
	"eidertrail/internal/handover/runner"
	"eidertrail/internal/listener"
)

// Bounds of the HTTP servers.
const (
	headerTimeout  = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// The listeners of a controller, by the field of their address. Other fields than callersField are those of the call
// control file.
const (
	callersField    = "callers"
	webSocketField  = "listen"
	healthField     = "health"
	agentCheckField = "agent_check"
)

// handoverConfig names every address that calls, and questions about them, come to.
func (d *Daemon) handoverConfig() runner.Config {
	cfg := runner.Config{
		Temporary:   d.options.Temporary,
		OpenTimeout: d.options.OpenTimeout,
		Log:         d.log,
		Listeners: []runner.Listener{{
			Field:   callersField,
			Address: d.cfg.Listen,
			Wrap:    func(err error) error { return config.WrapError(config.PlatformFile, "listen", err) },
		}},
	}
	file := d.files.callControl
	if file == nil {
		return cfg
	}
	addresses := []struct{ field, address string }{
		{webSocketField, file.Listen}, {healthField, file.Health}, {agentCheckField, file.AgentCheck},
	}
	for _, one := range addresses {
		if one.address != "" {
			cfg.Listeners = append(cfg.Listeners, runner.Listener{
				Field:   one.field,
				Address: one.address,
				Wrap:    func(err error) error { return config.WrapError(config.CallControlFile, one.field, err) },
			})
		}
	}
	return cfg
}

// serveCallControl serves the WebSocket front and what load balancers ask, each where the file has an address for it.
// Its parts are added to closers.
func (d *Daemon) serveCallControl() {
	file := d.files.callControl
	if file == nil {
		return
	}
	if acceptor := d.handover.Acceptor(webSocketField); acceptor != nil {
		d.serveWebSocket(acceptor, file)
	}
	if acceptor := d.handover.Acceptor(healthField); acceptor != nil {
		d.addresses[healthField] = acceptor.Addr().String()
		d.serveHTTP(acceptor, maxExtraConnections, health.Handler(d.status, d.snapshot))
	}
	if acceptor := d.handover.Acceptor(agentCheckField); acceptor != nil {
		d.addresses[agentCheckField] = acceptor.Addr().String()
		d.goroutines.Go(func() { _ = health.ServeAgent(acceptor, d.status) }) // until its listener is closed
		d.closers = append(d.closers, func() { _ = acceptor.Close() })
	}
}

func (d *Daemon) serveWebSocket(acceptor *listener.Acceptor, file *config.CallControl) {
	d.webSockets.Store(int64(file.MaxConnections))
	d.sockets = websocket.New(websocket.Config{
		Dispatcher:     d.dispatcher,
		Inviter:        d.pools,
		Lifecycle:      d.lifecycle,
		Ready:          d.ready,
		Origins:        file.Origins,
		MaxConnections: d.callControlConnections(d.limits(d.handover.View())),
		Log:            d.peerLog,
		Counters:       d.counters,
	})
	mux := http.NewServeMux()
	mux.Handle("GET "+file.Path, d.sockets)
	d.addresses[webSocketField] = acceptor.Addr().String()
	d.serveHTTP(acceptor, file.MaxConnections+maxExtraConnections, mux)
}

// httpErrors takes what net/http logs, panics of handlers among it, which end their connection.
type httpErrors struct{ log zerolog.Logger }

// Write implements io.Writer.
func (e httpErrors) Write(text []byte) (int, error) {
	e.log.Warn().Str("error", strings.TrimSpace(string(text))).Msg("http connection failed")
	return len(text), nil
}

// serveHTTP serves at most so many connections at a time until the daemon stops.
func (d *Daemon) serveHTTP(accepted net.Listener, maxConnections int, handler http.Handler) {
	accepted = netutil.LimitListener(accepted, maxConnections)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(httpErrors{d.peerLog}, "", 0),
	}
	d.goroutines.Go(func() {
		if err := server.Serve(accepted); !errors.Is(err, http.ErrServerClosed) {
			d.peerLog.Warn().Err(err).Msg("http server ended")
		}
	})
	d.closers = append(d.closers, func() { server.Close() })
}
