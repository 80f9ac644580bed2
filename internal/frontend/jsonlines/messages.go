package jsonlines

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
)

const (
	callIDLength = 16 // hexadecimal digits
	// noFirstChoice is dispatch's pool of a set-up that names none.
	noFirstChoice = -1
	// maxFigure bounds the figures of extras.
	maxFigure = 1e6
)

// Why a set-up was not accepted, where the rule is the platform's own.
var (
	errCallID = errors.New("id: want 16 hex digits")
	errTenant = errors.New("tenant: not known")
	errExtras = errors.New("extras: want figures as in dest:2;width:1;via:-1")
)

// handle handles one message of a caller.
func (c *conn) handle(message *linecodec.Message) {
	switch message.Type {
	case linecodec.TypeSetup:
		c.handleSetup(message)
	case linecodec.TypeRelease:
		c.handleRelease(message)
	case linecodec.TypePing:
		c.handlePing(message)
	case linecodec.TypeProgress, linecodec.TypeReleased, linecodec.TypePong, linecodec.TypeState:
		// Valid, and not answered.
	default:
		c.recordBadLine(fmt.Errorf("front: message type %.40q is not known", message.Type))
	}
}

// handleSetup takes a call, or rejects a message that cannot be one.
func (c *conn) handleSetup(message *linecodec.Message) {
	err := c.setup(message)
	if err == nil {
		return
	}
	if errors.Is(err, dispatch.ErrDraining) { // no fault of the caller's
		c.sendRelease(message.ID, dispatch.CauseCongestion)
		return
	}
	c.recordBadLine(fmt.Errorf("front: set-up %.40q: %w", message.ID, err))
	calls := c.server.cfg.Calls
	cause := dispatch.CauseTemporaryFailure
	switch {
	case !dispatch.IsToken(message.ID): // there is no id that an answer could name
		c.closeFaulty()
		return
	case errors.Is(err, dispatch.ErrDuplicateID) && calls.Owns(c, message.ID):
		// Two set-ups with one id on one connection: an answer to either could be taken for the other's.
		_, _ = calls.Release(message.ID, dispatch.CauseNormal) // if it ended meanwhile there is nothing to release
		c.closeFaulty()
		return
	case errors.Is(err, dispatch.ErrTooManyCalls):
		cause = dispatch.CauseCongestion
		if !errors.Is(err, dispatch.ErrNotEstablished) {
			c.faults-- // too many calls at a time are not the fault of a caller that is served
		}
	}
	c.sendRelease(message.ID, cause)
}

// setup checks what is the platform's own and hands the set-up to the call table.
func (c *conn) setup(message *linecodec.Message) error {
	if !isCallID(message.ID) {
		return errCallID
	}
	timeoutMillis, err := strconv.ParseFloat(message.Field("left"), 64)
	if err != nil {
		timeoutMillis = -1 // which the call table rejects
	}
	cfg := &c.server.cfg
	if tenant := message.Field("tenant"); tenant != "" && len(cfg.Tenants) > 0 && !slices.Contains(cfg.Tenants, tenant) {
		return errTenant
	}
	pool, ok := firstChoice(message.Field("extras"))
	if !ok {
		return errExtras
	}
	return cfg.Calls.Setup(c, dispatch.SetupRequest{
		ID:            message.ID,
		Class:         message.Field("class"),
		Number:        message.Field("key"),
		Group:         pool,
		TimeoutMillis: timeoutMillis,
		ReceivedAt:    cfg.Clock.Now(),
		SDP:           message.SDP,
	})
}

// handleRelease ends a call or cancels a set-up. The release of a call that is not known goes on to the pools, within
// the limits of releaseLimiter.
func (c *conn) handleRelease(message *linecodec.Message) {
	server := c.server
	cause := message.Cause
	if cause < 0 {
		cause = dispatch.CauseNormal
	}
	ended, err := server.cfg.Calls.Release(message.ID, cause)
	switch {
	case ended:
		server.cfg.Calls.MarkEstablished(c)
		c.send(queuedLine{bytes: linecodec.AppendBare(nil, linecodec.TypeReleased, message.ID)})
	case !errors.Is(err, dispatch.ErrUnknownCall):
	case isCallID(message.ID) && server.unmatchedReleases.allow(server.cfg.Clock):
		server.cfg.ReleaseUnmatched(message.ID, cause)
	default:
		c.faults++
	}
}

// handlePing answers a ping. The pong's cause is 1 where the server is ready.
func (c *conn) handlePing(message *linecodec.Message) {
	c.server.cfg.Counters.Add(telemetry.Pings)
	cause := 0
	if c.server.cfg.Ready() {
		cause = 1
	}
	c.send(queuedLine{bytes: linecodec.AppendCause(nil, linecodec.TypePong, message.ID, cause)})
}

// isCallID reports whether the pools can read an id. On one that they cannot read they close the connection, with the
// set-ups of other callers that are out on it.
func isCallID(id string) bool {
	if len(id) != callIDLength {
		return false
	}
	for i := range len(id) {
		if !isHexDigit(id[i]) {
			return false
		}
	}
	return true
}

func isHexDigit(char byte) bool {
	return '0' <= char && char <= '9' || 'a' <= char && char <= 'f' || 'A' <= char && char <= 'F'
}

// firstChoice reads the extras of a set-up, such as dest:2;width:1;via:-1, and returns the pool of first choice, or -1
// for none. It reports whether every figure is valid.
func firstChoice(extras string) (pool int, ok bool) {
	pool = noFirstChoice
	if extras == "" {
		return pool, true
	}
	for part := range strings.SplitSeq(extras, ";") {
		name, value, found := strings.Cut(part, ":")
		figure, err := strconv.ParseFloat(value, 64)
		inRange := figure >= -1 && figure < maxFigure // false for NaN
		if !found || err != nil || !inRange || name == "width" && figure < 1 {
			return noFirstChoice, false
		}
		if name == "dest" {
			pool = int(figure)
		}
	}
	return pool, true
}
