package dispatch

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/stats"
	"eidertrail/routing"
)

// router puts a routing.Router between the list of pools and the module: a pool that is up but that
// routing does not deem eligible now is told to the module as draining, so the module chooses only
// among the others, and maySend checks it again at each send. Its methods do nothing on a nil router.
// Only the loop goroutine uses it.
type router struct {
	r      *routing.Router
	told   map[string]eidertrail.Mode // what the module was told of each pool that is listed
	log    zerolog.Logger
	count  *stats.Set
	zoned  string // the last zone states logged
	cached map[string]bool
	at     int64 // cached holds for this reading
}

// Route has routing narrow what the module may choose from, from the next turn on; nil takes it away.
// Standing calls and attempts out are not counted by a new Router: it learns them as they end.
func (d *Dispatcher) Route(r *routing.Router) {
	d.post(func(now int64) {
		if r == nil {
			d.route = nil
			d.retell()
			return
		}
		d.route = &router{r: r, told: map[string]eidertrail.Mode{}, log: d.log, count: d.count}
		d.route.roster(now, d.servers)
		d.retell()
	})
}

// retell tells the module every pool again, as routing now has it.
func (d *Dispatcher) retell() {
	list := make([]eidertrail.Server, 0, len(d.servers))
	for _, s := range d.servers {
		list = append(list, eidertrail.Server{ID: eidertrail.ServerID(s.UID), Born: span(s.Born), Mode: s.Mode, Pool: s.Group})
	}
	slices.SortFunc(list, func(a, b eidertrail.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.route.narrowList(d.clock.Now(), d.servers, list)
	d.events = append(d.events, eidertrail.ServerList{Kind: eidertrail.Delta, Servers: list})
}

func (r *router) roster(now int64, servers map[string]Server) {
	pools := make([]routing.Pool, 0, len(servers))
	for _, s := range servers {
		pools = append(pools, routing.Pool{UID: s.UID, Zone: s.Zone, Up: s.Mode == eidertrail.Ready})
	}
	r.r.Roster(now, pools)
	r.cached = nil
	for uid := range r.told {
		if _, listed := servers[uid]; !listed {
			delete(r.told, uid)
		}
	}
}

func (r *router) eligible(now int64) map[string]bool {
	if r.cached == nil || r.at != now {
		r.cached, r.at = r.r.Eligible(now), now
	}
	return r.cached
}

// narrowList takes a new list for routing and changes, in list, the mode of pools that are up but not
// eligible to draining.
func (r *router) narrowList(now int64, servers map[string]Server, list []eidertrail.Server) {
	if r == nil {
		return
	}
	r.roster(now, servers)
	e := r.eligible(now)
	for i, s := range list {
		if s.Mode == eidertrail.Ready && !e[string(s.ID)] {
			list[i].Mode = eidertrail.Draining
		}
		r.told[string(s.ID)] = list[i].Mode
	}
}

// narrow appends what has changed in eligibility since the module was last told.
func (r *router) narrow(now int64, servers map[string]Server, events []eidertrail.Event) []eidertrail.Event {
	if r == nil {
		return events
	}
	r.cached = nil
	e := r.eligible(now)
	var changed []eidertrail.Server
	for uid, s := range servers {
		want := s.Mode
		if want == eidertrail.Ready && !e[uid] {
			want = eidertrail.Draining
		}
		if r.told[uid] != want {
			r.told[uid] = want
			changed = append(changed, eidertrail.Server{ID: eidertrail.ServerID(uid), Born: span(s.Born), Mode: want, Pool: s.Group})
		}
	}
	r.logZones()
	if len(changed) == 0 {
		return events
	}
	slices.SortFunc(changed, func(a, b eidertrail.Server) int { return cmp.Compare(a.ID, b.ID) })
	return append(events, eidertrail.ServerList{Kind: eidertrail.Delta, Servers: changed})
}

// logZones logs the zones' states when they change.
func (r *router) logZones() {
	zones := r.r.Zones()
	var b []byte
	for _, z := range zones {
		b = append(b, z.Zone...)
		switch {
		case z.Dark:
			b = append(b, ":dark "...)
		case z.Out:
			b = append(b, ":out "...)
		case z.Warm > 0:
			b = append(b, ":warming "...)
		default:
			b = append(b, ":up "...)
		}
	}
	if string(b) != r.zoned {
		r.zoned = string(b)
		r.count.Add(stats.ZoneChanges)
		r.log.Info().Str("zones", r.zoned).Msg("zones")
	}
}

// admits tells whether routing lets a set-up go to uid now: the last guard.
func (r *router) admits(now int64, uid string) bool {
	if r == nil {
		return true
	}
	if _, known := r.told[uid]; !known {
		return true // not listed with routing: the module's list guard decides
	}
	r.cached = nil // what was sent in this turn counts
	ok := r.eligible(now)[uid]
	if !ok {
		r.count.Add(stats.RouteStopped)
	}
	return ok
}

func (r *router) next(now int64) int64 {
	if r == nil {
		return 0
	}
	return r.r.Next(now)
}

func (r *router) report(uid string, free, agents float64) {
	if r != nil {
		r.r.Report(uid, free, agents)
	}
}

func (r *router) sent(k *call, uid string) {
	k.pool = uid
	if r != nil {
		r.r.Sent(uid)
		k.routed = true
	}
}

func (r *router) answered(now int64, k *call) {
	if r != nil && k.routed {
		r.r.Answered(now, k.pool)
	}
}

// ended notes the end of an attempt that did not stand, or of a call that stood.
func (r *router) ended(now int64, k *call, o Outcome) {
	if r == nil || !k.routed {
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
