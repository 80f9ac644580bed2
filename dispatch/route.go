package dispatch

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/endpoint/liveness"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
)

// router stands between the list of pools and the module: a pool that is up but that has fallen silent
// (heartbeat) or that routing, where it is on, does not deem eligible now is told to the module as draining,
// so the module chooses only among the others, and maySend checks it again at each send. Only the loop
// goroutine uses it.
type router struct {
	r      *routing.Router // nil: off
	limits *limits         // nil: off
	beats  *liveness.Monitor
	silent map[string]bool // as logged
	all    routing.Classes
	told   map[string]offer // what the module was told of each pool that is listed
	log    zerolog.Logger
	count  *telemetry.Counters
	zoned  string // the last zone states logged
	cached map[string]routing.Classes
	at     int64 // cached holds for this reading
}

// offer is how a pool is offered to the module.
type offer struct {
	mode   eidertrail.Mode
	barred routing.Classes
}

// SetRouter has routing narrow what the module may choose from, from the next turn on; nil takes it away.
// Standing calls and attempts out are not counted by a new Router: it learns them as they end.
func (d *Dispatcher) SetRouter(r *routing.Router) {
	d.post(func(now int64) { d.engine.SetRouter(now, r) })
}

// SetRouter is Dispatcher.Route.
func (d *Engine) SetRouter(now int64, r *routing.Router) {
	d.route.r, d.route.zoned = r, ""
	d.route.limits.zones(r)
	d.retell(now)
}

// newRouter returns the router of a site's settings, with routing off.
func newRouter(set eidertrail.Settings, log zerolog.Logger, count *telemetry.Counters) *router {
	var classes [][]int
	for _, c := range set.Classes {
		classes = append(classes, c.Pools)
	}
	return &router{beats: liveness.New(classes), all: 1<<len(classes) - 1, told: map[string]offer{}, log: log, count: count}
}

// retell tells the module every pool again, as routing now has it.
func (d *Engine) retell(now int64) {
	list := make([]eidertrail.Server, 0, len(d.servers))
	for _, s := range d.servers {
		list = append(list, eidertrail.Server{ID: eidertrail.ServerID(s.UID), StartedAt: span(s.StartedAt), Mode: s.Mode, Pool: s.Group})
	}
	slices.SortFunc(list, func(a, b eidertrail.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.route.narrowList(now, d.servers, list)
	d.events = append(d.events, eidertrail.ServerList{Kind: eidertrail.Delta, Servers: list})
}

func (r *router) roster(now int64, servers map[string]Endpoint) {
	pools := make([]routing.Endpoint, 0, len(servers))
	var up []liveness.Endpoint
	for _, s := range servers {
		ready := s.Mode == eidertrail.Ready
		pools = append(pools, routing.Endpoint{UID: s.UID, Zone: s.Zone, Up: ready})
		if ready {
			up = append(up, liveness.Endpoint{UID: s.UID, Group: s.Group})
		}
	}
	r.beats.UpdateEndpoints(up)
	r.limits.roster(servers)
	if r.r != nil {
		r.r.UpdateEndpoints(now, pools)
	}
	r.cached = nil
	for uid := range r.told {
		if _, listed := servers[uid]; !listed {
			delete(r.told, uid)
		}
	}
}

// eligible is the classes for which the module may choose the pool, which is up, now.
func (r *router) eligible(now int64, uid string) routing.Classes {
	if r.beats.IsSilent(now, uid) || !r.limits.ready(now, uid) {
		return 0
	}
	if r.r == nil || !r.r.Manages(uid) {
		return r.all
	}
	if r.cached == nil || r.at != now {
		r.cached, r.at = r.r.Eligible(now), now
	}
	return r.cached[uid]
}

// offer is how a pool of the list is to be offered now: for no class is as good as draining.
func (r *router) offer(now int64, uid string, listed eidertrail.Mode) offer {
	if listed != eidertrail.Ready {
		return offer{mode: listed}
	}
	e := r.eligible(now, uid)
	if e&r.all == 0 {
		return offer{mode: eidertrail.Draining}
	}
	return offer{mode: listed, barred: r.all &^ e}
}

// logSilent logs and counts the pools that have fallen silent, or that are heard again.
func (r *router) logSilent(now int64) {
	silent := r.beats.Silent(now)
	for uid := range silent {
		if !r.silent[uid] {
			r.count.Add(telemetry.SilentPools)
			r.log.Info().Str("pool", uid).Msg("pool tells its state no more")
		}
	}
	r.silent = silent
}

// narrowList takes a new list for routing and changes, in list, the mode of pools that are up but not
// eligible to draining.
func (r *router) narrowList(now int64, servers map[string]Endpoint, list []eidertrail.Server) {
	r.roster(now, servers)
	for i, s := range list {
		o := r.offer(now, string(s.ID), s.Mode)
		list[i].Mode, list[i].DeniedClasses = o.mode, uint64(o.barred)
		r.told[string(s.ID)] = o
	}
}

// waits tells routing of the calls that wait for a place.
func (r *router) waits(now int64, waiting map[uint64]*call) {
	if r.r == nil {
		return
	}
	since := int64(0)
	for _, k := range waiting {
		if at := max(k.waitsFrom, k.notBefore); at < now && (since == 0 || at < since) {
			since = at
		}
	}
	r.r.SetOldestWait(now, since)
}

// narrow appends what has changed in eligibility since the module was last told.
func (r *router) narrow(now int64, servers map[string]Endpoint, events []eidertrail.Event) []eidertrail.Event {
	r.cached = nil
	var changed []eidertrail.Server
	for uid, s := range servers {
		want := r.offer(now, uid, s.Mode)
		if r.told[uid] != want {
			r.told[uid] = want
			changed = append(changed, eidertrail.Server{
				ID: eidertrail.ServerID(uid), StartedAt: span(s.StartedAt), Mode: want.mode,
				Pool: s.Group, DeniedClasses: uint64(want.barred),
			})
		}
	}
	r.limits.look(now, r.r)
	r.logSilent(now)
	r.logZones()
	if len(changed) == 0 {
		return events
	}
	slices.SortFunc(changed, func(a, b eidertrail.Server) int { return cmp.Compare(a.ID, b.ID) })
	return append(events, eidertrail.ServerList{Kind: eidertrail.Delta, Servers: changed})
}

// logZones logs the zones' states when they change.
func (r *router) logZones() {
	if r.r == nil {
		return
	}
	zones := r.r.Zones()
	var b []byte
	for _, z := range zones {
		b = append(b, z.Zone...)
		switch {
		case z.NoEndpoints:
			b = append(b, ":dark "...)
		case z.Ejected:
			b = append(b, ":out "...)
		case z.WarmingUp > 0:
			b = append(b, ":warming "...)
		default:
			b = append(b, ":up "...)
		}
	}
	if string(b) != r.zoned {
		r.zoned = string(b)
		r.count.Add(telemetry.ZoneChanges)
		r.log.Info().Str("zones", r.zoned).Msg("zones")
	}
}

// admits tells whether a set-up of the class may go to uid now: the last guard.
func (r *router) admits(now int64, uid string, class int) bool {
	if _, known := r.told[uid]; !known {
		return true // not listed with routing: the module's list guard decides
	}
	r.cached = nil // what was sent in this turn counts
	ok := r.eligible(now, uid).Has(class)
	if !ok {
		r.count.Add(telemetry.RouteStopped)
	}
	return ok
}

func (r *router) next(now int64) int64 {
	due := r.beats.Next(now)
	if at := r.limits.due(now); at > 0 && (due == 0 || at < due) {
		due = at
	}
	if r.r != nil {
		if at := r.r.Next(now); at > 0 && (due == 0 || at < due) {
			due = at
		}
	}
	return due
}

func (r *router) report(uid string, free, agents float64) {
	r.limits.agents(uid, agents)
	if r.r != nil {
		r.r.Report(uid, free, agents)
	}
}

// sent takes a set-up that goes, and tells by when it must have left; 0: at any time.
func (r *router) sent(now int64, k *call, uid string) int64 {
	k.pool = uid
	if r.r != nil {
		r.r.Sent(uid)
		k.routed = true
	}
	return r.limits.took(now, uid)
}

func (r *router) answered(now int64, k *call) {
	if r.r != nil && k.routed {
		r.r.Answered(now, k.pool)
	}
}

// ended notes the end of an attempt that did not stand, or of a call that stood.
func (r *router) ended(now int64, k *call, o Outcome) {
	if r.r == nil || !k.routed {
		return
	}
	k.routed = false
	judged := routing.Neutral
	switch {
	case k.stands:
	case o == TimedOut || o == Reset || o == ConnectFailed || o == Errored:
		judged = routing.Failure
	}
	r.r.Ended(now, k.pool, judged, k.stands)
}
