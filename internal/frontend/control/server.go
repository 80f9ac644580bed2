package control

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

const (
	// callTimeout is how long a call may take to come, and its answer to be read.
	callTimeout = 2 * time.Second
	// maxHeaderBytes bounds the head of a call; net/http allows 4 KiB more.
	maxHeaderBytes = 4 << 10
)

// Config is what a Server is made with.
type Config struct {
	Controller     Controller
	MaxConnections int
	Log            zerolog.Logger
}

// Server serves the address for operators.
type Server struct {
	http     *http.Server
	listener *boundedListener
}

// New returns a server for the listener, which it owns.
func New(listener net.Listener, cfg Config) *Server {
	server := &http.Server{
		Handler:        newHandler(cfg.Controller, cfg.Log),
		ReadTimeout:    callTimeout,
		WriteTimeout:   2 * callTimeout, // counted from the call's head on
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // what callers do wrong is answered, and no fault of this program
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if tracked, is := conn.(*trackedConn); is {
				return withConn(ctx, tracked)
			}
			return ctx
		},
	}
	server.SetKeepAlivesEnabled(false) // one call a connection
	return &Server{
		http:     server,
		listener: &boundedListener{Listener: listener, maxConnections: cfg.MaxConnections},
	}
}

// Serve answers calls until Close, and returns nil then.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// SetMaxConnections changes the bound on connections.
func (s *Server) SetMaxConnections(maxConnections int) { s.listener.setMaxConnections(maxConnections) }

// Close closes the listener and all connections.
func (s *Server) Close() { s.http.Close() }
