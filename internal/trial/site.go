package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
)

const (
	// siteClass is the class of the sites' set-ups, which must not be repeated once they may have run. The callers do not
	// use it.
	siteClass = "site-once"
	// siteDeadline is how long a site waits for the final answer to a set-up.
	siteDeadline = 1500 * time.Millisecond
	// siteSetupInterval is the mean time between two effects that a site wants.
	siteSetupInterval = 150 * time.Millisecond
	// siteRedialInterval is how long a site waits before it opens another socket.
	siteRedialInterval = 100 * time.Millisecond
	// maxSetupsPerEffect bounds how often a site asks for one effect.
	maxSetupsPerEffect = 4
	// maxSiteRetryAfter bounds how long a site waits before it sends a set-up again.
	maxSiteRetryAfter  = time.Second
	maxSiteConnections = 8
)

// site keeps one WebSocket open to a process and goes by what it is told there: it sends a set-up again where the
// server names the time for that, and never otherwise.
type site struct {
	world   *world
	process *process

	mu      sync.Mutex
	socket  *websocket.Conn // nil: none is open
	setups  map[string]*siteSetup
	effects int // wanted so far
	sent    int // set-ups so far
}

// siteSetup is a set-up of a site that has no final answer yet.
type siteSetup struct {
	id     string
	effect string
	number int // of the set-ups for the effect, from 1
}

// siteMessage is a message of the server.
type siteMessage struct {
	Type         string
	ID           string
	Code         string
	Cause        int
	RetryAfterMS int64 `json:"retry_after_ms"`
}

func newSite(w *world, p *process) *site {
	return &site{world: w, process: p, setups: map[string]*siteSetup{}}
}

// callControlPath is the process's file of the WebSocket frontend.
func (p *process) callControlPath() string {
	return filepath.Join(p.world.folder, p.name+".callcontrol.toml")
}

// writeCallControl writes that file.
func (p *process) writeCallControl() error {
	text := fmt.Sprintf("listen = %q\nmax_connections = %d\n", p.world.network.site(p.index), maxSiteConnections)
	if err := os.WriteFile(p.callControlPath(), []byte(text), 0o600); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	return nil
}

// run keeps a socket open until the trial ends.
func (s *site) run(ctx context.Context) {
	for ctx.Err() == nil {
		url := fmt.Sprintf("ws://%s/call-control?site=%s", s.world.network.site(s.process.index), s.process.name)
		socket, response, err := websocket.Dial(ctx, url, nil)
		if response != nil && response.Body != nil {
			response.Body.Close()
		}
		if err == nil {
			s.serve(ctx, socket)
		}
		sleep(ctx, siteRedialInterval)
	}
}

// serve reads a socket to its end. What has no final answer by then is not sent again: it may have run.
func (s *site) serve(ctx context.Context, socket *websocket.Conn) {
	s.setSocket(socket)
	var err error
	for err == nil {
		var data []byte
		if _, data, err = socket.Read(ctx); err == nil {
			err = s.receive(ctx, data)
		}
	}
	s.setSocket(nil)
	_ = socket.CloseNow() // it has ended
	s.log(fmt.Sprintf("socket ended: %v", err))
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.setups)
}

func (s *site) setSocket(socket *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.socket = socket
}

// place asks for new effects for as long as callers arrive.
func (s *site) place(ctx context.Context, begin time.Time) {
	for time.Since(begin) < s.world.plan.Length {
		if !sleep(ctx, s.world.randomExponential(siteSetupInterval)) {
			return
		}
		s.mu.Lock()
		s.effects++
		effect := s.process.name + "-" + strconv.Itoa(s.effects)
		s.mu.Unlock()
		s.setUp(ctx, effect, 1)
	}
}

// setUp sends a set-up for an effect, where a socket is open.
func (s *site) setUp(ctx context.Context, effect string, number int) {
	s.mu.Lock()
	socket := s.socket
	if socket == nil {
		s.mu.Unlock()
		return
	}
	s.sent++
	placed := &siteSetup{id: "c" + strconv.Itoa(s.sent), effect: effect, number: number}
	s.setups[placed.id] = placed
	s.mu.Unlock()
	s.log(fmt.Sprintf("setup %s for effect %s, number %d", placed.id, effect, number))
	text := fmt.Sprintf(`{"type":"setup","id":%q,"class":%q,"left_ms":%d,"sdp":%s}`,
		placed.id, siteClass, siteDeadline.Milliseconds(), strconv.Quote(describeEffect(effect)))
	_ = socket.Write(ctx, websocket.MessageText, []byte(text)) // its end shows at the reader
}

// errSiteMessage is a message that is no JSON object.
var errSiteMessage = errors.New("trial: a message that cannot be read")

// receive takes a message. Any time that it names is an invitation to send the set-up again.
func (s *site) receive(ctx context.Context, data []byte) error {
	var message siteMessage
	if json.Unmarshal(data, &message) != nil {
		return errSiteMessage
	}
	s.log(fmt.Sprintf("%s %s %s cause %d, retry after %d ms",
		message.Type, message.ID, message.Code, message.Cause, message.RetryAfterMS))
	s.mu.Lock()
	placed := s.setups[message.ID]
	delete(s.setups, message.ID)
	s.mu.Unlock()
	if placed == nil || message.RetryAfterMS <= 0 || placed.number >= maxSetupsPerEffect {
		return nil
	}
	wait := min(time.Duration(message.RetryAfterMS)*time.Millisecond, maxSiteRetryAfter)
	s.world.tasks.Go(func() {
		if sleep(ctx, wait) {
			s.setUp(ctx, placed.effect, placed.number+1)
		}
	})
	return nil
}

func (s *site) log(text string) { s.world.timeline.add("site "+s.process.name, text) }
