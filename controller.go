package eidertrail

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"eidertrail/internal/average"
	"eidertrail/internal/expiringmap"
	"eidertrail/internal/keybackoff"
)

// Parameters of the event loop.
const (
	stallMultiple  = 2     // the lateness of a Wake that shows a process stall, in the longest M that counts
	recheckTicks   = 2     // how often queued calls are retried, in ticks
	repollFraction = 0.125 // the part of PollInterval after which a failed request for the list is repeated
	never          = time.Duration(math.MaxInt64)
)

// Controller decides for one access node. It is not safe for concurrent use.
type Controller struct {
	settings          Settings
	seed              uint64        // of the random draws
	holdingTime       time.Duration // longest mean holding time of a class
	maxMinDelay       time.Duration // M counts as no more than this
	stallThreshold    time.Duration // a Wake later than this shows a process stall
	now               time.Duration // of the batch being handled
	actions           []Action      // appended by it
	stalledFor        time.Duration // length of the process stall before it, 0: none
	nextWake          time.Duration // when the next Wake requested is due, 0: none
	wakeToken         uint64
	nextPoll          time.Duration   // when the list is requested again, 0: never
	servers           []*serverRecord // in the order of first listing
	serversByID       map[ServerID]*serverRecord
	serversListed     int     // ever, which numbers them
	minAgents         float64 // fewest agents that any server ever reported, 0: none did
	loadRatio         float64 // L
	calls             map[CallID]*callRecord
	queue             []*callRecord // calls that wait to be sent or answered
	busyNumbers       *keybackoff.Table
	unansweredNumbers expiringmap.Map[uint64, time.Duration] // and when their callers tried first
	maxTimeouts       []time.Duration                        // longest Timeout of a call, by class
	meanWeight        average.Mean                           // of the latest calls
	offeredLoad       average.Count                          // in about one holding time
	trafficRatio      float64                                // this node's calls over an equal one's
	processes         int                                    // that this node consists of now
}

// New returns the controller of one access node, or a *SettingsError. The seed makes nodes that see the same
// draw differently; equal settings, seeds and events give equal actions.
func New(settings Settings, seed uint64) (*Controller, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	controller := &Controller{
		settings: settings, seed: seed + uint64(settings.Index), loadRatio: 1, trafficRatio: 1,
		serversByID: map[ServerID]*serverRecord{}, calls: map[CallID]*callRecord{},
		maxTimeouts: make([]time.Duration, len(settings.Classes)),
		busyNumbers: keybackoff.New(maxBusyNumbers, maxBusyMultiple),
		processes:   1,
	}
	if settings.PollEndpoints {
		controller.nextPoll = 1
	}
	for _, class := range settings.Classes {
		bound := time.Duration(float64(class.LatencyObjective) * maxGateFraction / gateMultiple)
		if controller.maxMinDelay == 0 || 0 < bound && bound < controller.maxMinDelay {
			controller.maxMinDelay = bound
		}
		controller.holdingTime = max(controller.holdingTime, class.MeanHoldingTime)
	}
	controller.stallThreshold = stallMultiple * max(controller.maxMinDelay, settings.Tick, time.Millisecond)
	return controller, nil
}

// Handle takes the events of one batch, all at the reading now, and appends what is to be done to actions.
func (c *Controller) Handle(now time.Duration, events []Event, actions []Action) []Action {
	c.now, c.actions = now, actions
	c.stalledFor = c.processStall()
	for _, event := range events {
		switch event := event.(type) {
		case Call:
			c.accept(event)
		case Answered:
			c.answered(event)
		case Outcome:
			c.outcome(event)
		case CallerGone:
			c.callerGone(event.Call)
		case ServerList:
			c.updateServers(event)
		case Report:
			c.report(event)
		case Sharing:
			c.processes = max(1, event.Processes)
		case Wake:
			if c.nextWake <= now {
				c.nextWake = 0
			}
		}
	}
	if c.settings.PollEndpoints && c.nextPoll > 0 && now >= c.nextPoll {
		c.nextPoll = 0
		c.actions = append(c.actions, Watch{})
	}
	c.dispatchQueued()
	c.requestWake()
	actions, c.actions = c.actions, nil
	return actions
}

// updateServers applies a server list. Of a server that is gone nothing is kept but what its calls refer to.
func (c *Controller) updateServers(list ServerList) {
	if list.Kind == Failed {
		c.nextPoll = c.now + time.Duration(repollFraction*float64(c.settings.PollInterval))
		return
	}
	if list.Kind != Delta {
		for _, server := range c.servers {
			server.mode = Removed
		}
	}
	for _, entry := range list.Servers {
		server := c.serversByID[entry.ID]
		if server == nil {
			server = &serverRecord{id: entry.ID, index: c.serversListed, freeAgents: -1}
			c.serversListed++
			c.restart(server, entry.StartedAt)
			c.serversByID[entry.ID] = server
			c.servers = append(c.servers, server)
		} else if server.startedAt != entry.StartedAt {
			c.restart(server, entry.StartedAt)
		}
		server.mode, server.pool, server.denied = entry.Mode, entry.Pool, entry.DeniedClasses
	}
	c.servers = slices.DeleteFunc(c.servers, func(s *serverRecord) bool { return s.mode == Removed })
	maps.DeleteFunc(c.serversByID, func(_ ServerID, s *serverRecord) bool { return s.mode == Removed })
}

// restart starts a new incarnation, of which the old one's record says nothing but its agents. Its credit is
// drawn, or all nodes would send to it at the same time.
func (c *Controller) restart(server *serverRecord, startedAt time.Duration) {
	*server = serverRecord{
		id: server.id, index: server.index, startedAt: startedAt,
		delay:    delayMemory{maxMinDelay: c.maxMinDelay},
		pace:     pacing{rate: unpacedRate, credit: c.uniform(0, server), since: c.now},
		inFlight: server.inFlight.Restarted(), freeAgents: server.freeAgents, agents: server.agents,
	}
}

func (c *Controller) report(report Report) {
	server := c.serversByID[report.Server]
	if server == nil {
		return
	}
	if report.Free >= 0 {
		server.freeAgents = report.Free
	}
	if report.Agents >= 0 {
		if server.agents == 0 { // all nodes get the report at once: credit of the time before is void
			server.pace.since = c.now
		}
		server.agents = report.Agents
		c.minAgents = min(cmp.Or(c.minAgents, report.Agents), cmp.Or(report.Agents, c.minAgents))
	}
	if report.Free > min(spareAgentsPerNode*float64(c.settings.Nodes), spareAgentFraction*server.agents) {
		server.shortage = false
	}
}

// processStall is how long this process has just stalled, as shown by a Wake far too late.
// Departure: completions then contain the node's own stall and are not recorded, and calls are older than
// they seem. Harms where wakes are late by habit: little is recorded.
func (c *Controller) processStall() time.Duration {
	if late := c.now - c.nextWake; c.nextWake > 0 && late > c.stallThreshold {
		return late
	}
	return 0
}

// requestWake requests the next Wake: for a poll, a queued call or, while there are calls, to show stalls.
func (c *Controller) requestWake() {
	next := cmp.Or(c.nextPoll, never)
	if len(c.calls) > 0 {
		next = min(next, c.now+c.stallThreshold)
	}
	recheck := c.now + recheckTicks*max(c.settings.Tick, time.Millisecond)
	for _, call := range c.queue {
		due := min(call.queueDeadline, call.expiresAt, recheck)
		if call.notBefore > c.now {
			due = min(call.notBefore, call.expiresAt)
		}
		next = min(next, due)
	}
	if next == never || c.nextWake > c.now && c.nextWake <= next {
		return
	}
	c.nextWake = max(next, c.now+1)
	c.wakeToken++
	c.actions = append(c.actions, WakeAt{Token: c.wakeToken, In: c.nextWake - c.now})
}
