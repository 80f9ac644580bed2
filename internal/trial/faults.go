package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"eidertrail/internal/trial/faultproxy"
	"eidertrail/internal/trial/plan"
)

const (
	// badClientWait bounds how long a bad client waits.
	badClientWait = 6 * time.Second
	// overlongBytes is more than a message may have.
	overlongBytes = 40 << 10
	// reloadPause is the time between two signals of a series.
	reloadPause = 60 * time.Millisecond
)

// cause causes a fault at its time.
func (w *world) cause(ctx context.Context, begin time.Time, fault plan.Fault) {
	if !sleep(ctx, time.Until(begin.Add(fault.At))) {
		return
	}
	w.timeline.add("faults", fault.String())
	switch fault.Kind {
	case plan.PoolHang, plan.PoolVanish, plan.PoolReplace, plan.PoolRestart, plan.PoolDrain, plan.PoolSpoil,
		plan.PoolRepeat:
		w.causeAtPool(ctx, fault)
	case plan.LinkCut, plan.LinkBlackHole, plan.LinkNoAccept, plan.LinkOneByte, plan.LinkReset, plan.LinkHalf,
		plan.LinkFin:
		w.causeAtLink(ctx, fault)
	case plan.ListSilent, plan.ListRefused, plan.ListBroken, plan.ListMoved:
		w.causeAtList(ctx, fault)
	case plan.OperatorDrainAll, plan.ProcessStopAll, plan.ProcessUpgradeAll:
		w.causeAtAllProcesses(ctx, fault)
	case plan.OperatorDrain, plan.OperatorSilent, plan.ProcessStop, plan.ProcessKill, plan.ProcessHangup,
		plan.ProcessUpgrade, plan.ProcessUpgradeKilled, plan.LogBlocked:
		w.causeAtProcess(ctx, fault)
	default:
		w.causeByCallers(ctx, fault)
	}
}

func (w *world) causeAtPool(ctx context.Context, fault plan.Fault) {
	target := w.pools[fault.Pool]
	switch fault.Kind { //nolint:exhaustive // those of pools
	case plan.PoolHang:
		target.hang(ctx, fault.Duration)
	case plan.PoolVanish:
		target.vanish(ctx, fault.Duration)
	case plan.PoolReplace:
		target.replace(ctx)
	case plan.PoolRestart:
		target.restart(ctx)
	case plan.PoolDrain:
		target.drain(ctx, fault.Duration)
	case plan.PoolSpoil:
		target.spoilNext(fault.Count)
	default:
		target.repeatNext(fault.Count)
	}
}

func (w *world) causeAtLink(ctx context.Context, fault plan.Fault) {
	link := w.pools[fault.Pool].links[fault.Process]
	modes := map[plan.Kind]faultproxy.Mode{
		plan.LinkCut:       faultproxy.Refuse,
		plan.LinkBlackHole: faultproxy.BlackHole,
		plan.LinkNoAccept:  faultproxy.NoAccept,
		plan.LinkOneByte:   faultproxy.OneByte,
	}
	strikes := map[plan.Kind]faultproxy.Strike{
		plan.LinkReset: faultproxy.StrikeReset,
		plan.LinkHalf:  faultproxy.StrikeHalf,
		plan.LinkFin:   faultproxy.StrikeFin,
	}
	if strike, is := strikes[fault.Kind]; is {
		for range fault.Count {
			link.Strike(strike)
			sleep(ctx, fault.Duration/maxStrikes)
		}
		return
	}
	if err := link.SetMode(modes[fault.Kind]); err != nil {
		return
	}
	sleep(ctx, fault.Duration)
	_ = link.SetMode(faultproxy.Pass) // where it does not return, the link stays cut
}

// upgradeKillDivisor makes a fault's duration that from the start of a second process to its kill: at times before its
// yes, at times after it.
const upgradeKillDivisor = 8

// maxStrikes spreads the strikes of a fault over its duration.
const maxStrikes = 4

func (w *world) causeAtList(ctx context.Context, fault plan.Fault) {
	target := w.lists[fault.Process]
	switch fault.Kind { //nolint:exhaustive // those of lists
	case plan.ListSilent:
		target.fault(ctx, faultproxy.BlackHole, fault.Duration)
	case plan.ListRefused:
		target.fault(ctx, faultproxy.Refuse, fault.Duration)
	case plan.ListBroken:
		target.breakOff(fault.Count)
	default:
		for range fault.Count {
			if target.move(ctx) != nil || w.processes[fault.Process].rewriteConfig() != nil {
				return
			}
			w.processes[fault.Process].hangUp()
			target.moved()
			sleep(ctx, reloadPause)
		}
	}
}

// causeAtAllProcesses empties or replaces all processes at once, or restarts one after another.
func (w *world) causeAtAllProcesses(ctx context.Context, fault plan.Fault) {
	for _, p := range w.processes {
		switch fault.Kind { //nolint:exhaustive // those of all processes
		case plan.ProcessStopAll:
			p.stop(ctx)
		case plan.ProcessUpgradeAll:
			w.tasks.Go(func() { p.replace(ctx) })
		default:
			w.tasks.Go(func() { p.lameDuck(ctx, fault.Duration) })
		}
	}
}

func (w *world) causeAtProcess(ctx context.Context, fault plan.Fault) {
	target := w.processes[fault.Process]
	switch fault.Kind { //nolint:exhaustive // those of processes
	case plan.OperatorDrain:
		target.lameDuck(ctx, fault.Duration)
	case plan.OperatorSilent:
		target.silentOperators(ctx)
	case plan.ProcessStop:
		target.stop(ctx)
	case plan.ProcessKill:
		target.killAndStart(ctx)
	case plan.ProcessUpgrade: // in series
		for range fault.Count {
			target.replace(ctx)
		}
	case plan.ProcessUpgradeKilled:
		target.replaceAndKill(ctx, fault.Duration/upgradeKillDivisor)
	case plan.LogBlocked:
		target.blockLog(ctx, fault.Duration)
	default:
		for range fault.Count {
			target.hangUp()
			sleep(ctx, reloadPause)
		}
	}
}

func (w *world) causeByCallers(ctx context.Context, fault plan.Fault) {
	switch fault.Kind { //nolint:exhaustive // those of callers
	case plan.CallersLeave:
		w.callers.during(ctx, &w.callers.leaving, fault.Duration)
	case plan.CallersSlow:
		w.callers.during(ctx, &w.callers.slow, fault.Duration)
	case plan.CallersRetry:
		w.callers.during(ctx, &w.callers.retrying, fault.Duration)
	case plan.CallersBad:
		for range fault.Count {
			for n, text := range badTexts() {
				w.tasks.Go(func() { w.processes[fault.Process].badClient(ctx, n, text) })
			}
			sleep(ctx, reloadPause)
		}
	default:
		w.tasks.Go(func() { w.callers.during(ctx, &w.callers.crowded, fault.Duration) })
		w.tasks.Go(func() { w.callers.stayAway(ctx, w.processes[fault.Process], fault.Away) })
		w.processes[fault.Process].crowd(ctx, fault)
	}
}

// during counts a manner of callers as under way for a while.
func (c *callers) during(ctx context.Context, underWay *int, duration time.Duration) {
	c.mu.Lock()
	*underWay++
	c.mu.Unlock()
	sleep(ctx, duration)
	c.mu.Lock()
	*underWay--
	c.mu.Unlock()
}

// badTexts are what bad clients send.
func badTexts() []string {
	return []string{
		"\x00\x01\x02 noise \xff\n",
		"{\"type\":\"setup\"",
		strings.Repeat("x", overlongBytes),
		`{"type":"setup","id":"zz","fields":{"class":"class-0","left":"1000"},"sdp":""}` + "\n",
		`{"type":"setup","id":"00000000000000f1","fields":{"class":"none","left":"1000"},"sdp":""}` + "\n",
		`{"type":"setup","id":"00000000000000f2","fields":{"class":"none","left":"-1e9"},"sdp":""}` + "\n",
		`{"type":"release","id":"00000000000000f3","fields":{},"cause":"x"}` + "\n",
		`{"type":"setup","id":7,"fields":[],"sdp":1}` + "\n",
		"[]\n\n\n\n" + strings.Repeat("\n", 64), //nolint:mnd // more than a connection may send
	}
}

// badClient sends what is not valid, and waits for an answer or the end of its connection.
func (p *process) badClient(ctx context.Context, number int, text string) {
	incarnation := p.incarnation()
	began := time.Now()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.world.network.process(p.index))
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(began.Add(badClientWait))
	_, _ = io.WriteString(conn, text) // one that is closed meanwhile was served
	first := make([]byte, 1)
	_, _ = conn.Read(first) // whatever comes, or the end
	if ctx.Err() != nil || p.incarnation() != incarnation || p.upgradeUnderWay() {
		return
	}
	p.world.checker.BadClientServed(p.world.now(), incarnation, fmt.Sprintf("bad client %d", number),
		time.Since(began).Microseconds())
}
