package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"eidertrail/internal/invariant"
	"eidertrail/internal/telemetry"
)

const (
	// callTimeout bounds an operator's wait, well over the second within which an answer is owed.
	callTimeout = 5 * time.Second
	// figuresInterval is how often the figures are read.
	figuresInterval = time.Second
	// silentCallerStays is how long a caller stays that says nothing, or half a call; silentCallers are how many come.
	silentCallerStays, silentCallers = 4 * time.Second, 12
	// The tolerances of figures.
	outcomePart, attemptsPart, figureUnits = 0.01, 0.02, 3
)

// operatorCall is an answered call of an operator.
type operatorCall struct {
	status int
	body   string
	took   time.Duration
	err    error
}

// call makes one call to the current incarnation's control address.
func (p *process) call(ctx context.Context, method, path string) operatorCall {
	p.mu.Lock()
	control := p.current.control
	p.mu.Unlock()
	return p.callAt(ctx, control, method, path)
}

// callAt makes one call to a control address.
func (p *process) callAt(ctx context.Context, control, method, path string) operatorCall {
	began := time.Now()
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+control+path, nil)
	if err != nil {
		return operatorCall{err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return operatorCall{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return operatorCall{status: response.StatusCode, body: string(body), took: time.Since(began), err: err}
}

// check records a call's answer, unless the process's incarnation ended around it. It reports whether the answer was
// yes.
func (p *process) check(incarnation, name string, answer operatorCall) bool {
	exited, _, stopped := p.ended(incarnation)
	if exited || !stopped.IsZero() {
		return false
	}
	yes := answer.err == nil && answer.status == http.StatusOK
	p.world.timeline.add("operator", fmt.Sprintf("%s %s: %d, %v", p.name, name, answer.status, answer.err))
	p.world.checker.OperatorAnswered(p.world.now(), incarnation, name, answer.took.Microseconds(), yes)
	return yes
}

// lameDuck has an operator empty the process for a while.
func (p *process) lameDuck(ctx context.Context, duration time.Duration) {
	incarnation := p.incarnation()
	if !p.isAlone() {
		return
	}
	if !p.command(ctx, incarnation, "/_lameduck/on", p.world.checker.DrainStarted) {
		return
	}
	sleep(ctx, duration)
	p.setResuming(true)
	defer p.setResuming(false)
	p.command(ctx, incarnation, "/_lameduck/off", p.world.checker.DrainEnded)
}

// setResuming notes that the end of a drain was called for and is not recorded yet: the process may say that it is
// ready before its answer to that call is read.
func (p *process) setResuming(resuming bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resuming = resuming
}

// command makes a call that changes the process's state, and records it where it is answered with yes. Two operators at
// once are recorded in the order in which the process heard them.
func (p *process) command(ctx context.Context, incarnation, path string, record func(now int64, process string)) bool {
	p.commands.Lock()
	defer p.commands.Unlock()
	if p.incarnation() != incarnation || p.upgradeUnderWay() {
		return false
	}
	answer := p.call(ctx, http.MethodPost, path)
	if p.incarnation() != incarnation || p.upgradeUnderWay() || !p.check(incarnation, path, answer) {
		return false
	}
	record(p.world.now(), incarnation)
	return true
}

// isAlone reports whether the current incarnation was ready, and no other one replaces it.
func (p *process) isAlone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.wasReady && p.upgrade == nil
}

// silentOperators are callers of the control address that say nothing, or half a call.
func (p *process) silentOperators(ctx context.Context) {
	p.mu.Lock()
	control := p.current.control
	p.mu.Unlock()
	for n := range silentCallers {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", control)
		if err != nil {
			return
		}
		if n%2 == 0 {
			write(conn, []byte("POST /_lameduck/on HTTP/1.1\r\nHost: x\r\n"))
		}
		p.world.tasks.Go(func() {
			sleep(ctx, silentCallerStays)
			conn.Close()
		})
	}
}

// pollFigures reads the figures, and holds them against what was counted.
func (p *process) pollFigures(ctx context.Context) {
	for sleep(ctx, figuresInterval) {
		incarnation := p.incarnation()
		if !p.isAlone() {
			continue
		}
		from := p.world.now()
		answer := p.call(ctx, http.MethodGet, "/_vars")
		to := p.world.now()
		if ctx.Err() != nil || p.incarnation() != incarnation || !p.check(incarnation, "/_vars", answer) {
			continue
		}
		if p.countsAreShared() {
			continue
		}
		p.compare(incarnation, from, to, readFigures(answer.body))
	}
}

// countsAreShared reports whether another incarnation has run beside the current one: which of them a connection was
// to is not known to those who count.
func (p *process) countsAreShared() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.shared
}

// figureLine is a figure as statsd writes it.
var figureLine = regexp.MustCompile(`(?m)^app\.(\S+):(\d+)\|[cg]$`)

func readFigures(text string) map[string]int64 {
	figures := map[string]int64{}
	for _, parts := range figureLine.FindAllStringSubmatch(text, -1) {
		if value, err := strconv.ParseInt(parts[2], 10, 64); err == nil {
			figures[parts[1]] = value
		}
	}
	return figures
}

// compare holds the figures of one reading against the counts.
func (p *process) compare(incarnation string, requestedAt, answeredAt int64, figures map[string]int64) {
	counted := p.currentCounts()
	counted.mu.Lock()
	defer counted.mu.Unlock()
	for _, class := range p.world.plan.Classes {
		for _, outcome := range telemetry.Outcomes() {
			name := outcome.String() + "." + class.Name
			minimum, maximum := between(counted.outcomes[class.Name][outcome], requestedAt, answeredAt)
			p.compareFigure(incarnation, figures, invariant.Reading{
				Name:           name,
				Min:            minimum,
				Max:            maximum + counted.excused[class.Name],
				ToleratedPart:  outcomePart,
				ToleratedUnits: figureUnits,
			})
		}
	}
	minimum, maximum := between(counted.sends, requestedAt, answeredAt)
	p.compareFigure(incarnation, figures, invariant.Reading{
		Name:           "sends",
		Min:            minimum,
		Max:            maximum,
		ToleratedPart:  attemptsPart,
		ToleratedUnits: figureUnits,
	})
}

func (p *process) compareFigure(incarnation string, figures map[string]int64, reading invariant.Reading) {
	notified, found := figures[reading.Name]
	if !found {
		p.world.checker.OperatorAnswered(p.world.now(), incarnation, "figure "+reading.Name, 0, false)
		return
	}
	reading.Reported = notified
	p.world.checker.FigureRead(p.world.now(), incarnation, reading)
}
