package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// maxBodyBytes bounds the body of a call, which says nothing.
const maxBodyBytes = 4 << 10

// Controller is what operators see and command. Its methods wait for nothing.
type Controller interface {
	// Ready reports whether the controller takes work, and the name of its state.
	Ready() (ready bool, state string)
	// Figures reads the figures.
	Figures() Figures
	// Drain has the controller emptied; called twice, the second call changes nothing.
	Drain() error
	// Resume puts it back to work; without a drain it changes nothing.
	Resume() error
}

// call is what an operator may ask for at a path.
type call struct {
	method string
	serve  func(w http.ResponseWriter) error
}

// handler answers calls. It routes by itself: net/http's mux would redirect paths that it cleans, which is neither yes
// nor no, and takes HEAD for GET.
type handler struct {
	controller Controller
	calls      map[string]call
	lastID     atomic.Uint64
	log        zerolog.Logger
}

func newHandler(controller Controller, log zerolog.Logger) *handler {
	h := &handler{controller: controller, log: log}
	h.calls = map[string]call{
		"/_ready":        {http.MethodGet, h.ready},
		"/_vars":         {http.MethodGet, h.figures},
		"/_lameduck/on":  {http.MethodPost, h.command(controller.Drain)},
		"/_lameduck/off": {http.MethodPost, h.command(controller.Resume)},
	}
	return h
}

// callError is a call that is answered with no.
type callError struct {
	status int
	reason string
}

func (e *callError) Error() string { return e.reason }

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	status := http.StatusOK
	if err := h.answer(w, r); err != nil {
		status = http.StatusServiceUnavailable
		var rejected *callError
		if errors.As(err, &rejected) {
			status = rejected.status
		}
		w.WriteHeader(status)
		writeLine(w, err.Error())
	}
	h.logCall(r, status)
}

// answer makes a call once it is complete, and writes the answer unless it returns an error.
func (h *handler) answer(w http.ResponseWriter, r *http.Request) error {
	asked, known := h.calls[r.URL.Path]
	if !known {
		return &callError{http.StatusNotFound, "not known; want /_ready, /_vars, /_lameduck/on or /_lameduck/off"}
	}
	if r.Method != asked.method {
		w.Header().Set("Allow", asked.method)
		return &callError{http.StatusMethodNotAllowed, "want " + asked.method}
	}
	if err := readBody(w, r); err != nil {
		return err
	}
	if conn, tracked := r.Context().Value(connKey{}).(*trackedConn); tracked {
		conn.beginAnswer()
	}
	return asked.serve(w)
}

// readBody reads the body of a call to its end: half a call commands nothing.
func readBody(w http.ResponseWriter, r *http.Request) error {
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &callError{http.StatusRequestEntityTooLarge, "want no body"}
	case err != nil:
		return &callError{http.StatusBadRequest, "the call is not complete"}
	}
	return nil
}

func (h *handler) ready(w http.ResponseWriter) error {
	ready, state := h.controller.Ready()
	if !ready {
		return &callError{http.StatusServiceUnavailable, state}
	}
	writeLine(w, state)
	return nil
}

func (h *handler) figures(w http.ResponseWriter) error {
	_, _ = io.WriteString(w, h.controller.Figures().String()) // a caller that has left asks again
	return nil
}

// command answers with the state that the command leads to.
func (h *handler) command(carryOut func() error) func(w http.ResponseWriter) error {
	return func(w http.ResponseWriter) error {
		if err := carryOut(); err != nil {
			return err
		}
		_, state := h.controller.Ready()
		writeLine(w, state)
		return nil
	}
}

// logCall logs a command at info level, a question at debug level.
func (h *handler) logCall(r *http.Request, status int) {
	level := zerolog.DebugLevel
	if r.Method != http.MethodGet {
		level = zerolog.InfoLevel
	}
	_, state := h.controller.Ready()
	h.log.WithLevel(level).Uint64("operator_call", h.lastID.Add(1)).Str("method", r.Method).Str("path", r.URL.Path).
		Str("from", r.RemoteAddr).Int("status", status).Str("state", state).Msg("operator's call")
}

// writeLine writes a line of an answer. A caller that has left loses its own answer alone.
func writeLine(w io.Writer, text string) { _, _ = fmt.Fprintln(w, text) }

// connKey is the key of a call's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn *trackedConn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
