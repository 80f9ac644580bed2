package endpointlist

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"eidertrail/internal/telemetry"
)

const (
	// maxAnswer is the longest answer, in bytes.
	maxAnswer = 1 << 20
	// dialTimeout is how long a dial may take. A server whose queue of connections was full answers the second or third
	// try of the dial, 1 or 3 s after its beginning.
	dialTimeout = MaxOpenPolls * connectTimeout

	readBufferSize  = 4096
	writeBufferSize = 1024
)

// errSilent reports a server that gave no complete answer in time.
var errSilent = errors.New("silent")

// poller polls one address. The goroutine of run owns it; each open poll has a goroutine of its own, which reports to
// that.
type poller struct {
	*watcher
	address  string
	client   *http.Client
	schedule *pollSchedule
	reports  chan pollReport
	cancels  map[pollID]context.CancelCauseFunc // of the open polls
	running  sync.WaitGroup                     // the open polls' goroutines
}

// pollStage is how far a poll has come.
type pollStage int

const (
	pollConnected pollStage = iota // it has a connection
	pollAnswering                  // the first byte of its answer was read
	pollEnded                      // its answer is complete, or it has failed
)

// pollReport is what a poll's goroutine reports.
type pollReport struct {
	id    pollID
	stage pollStage
	text  []byte // of the answer, with pollEnded
	err   error  // why there is none
}

// poll polls one address until ctx is done.
func (w *watcher) poll(ctx context.Context, address string) {
	// The transport is this poller's own: a connection that comes up only after a move must not be kept for the next.
	// Dials end with the poller, not with the poll that has asked for them.
	transport := &http.Transport{
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			return w.dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: 1,
		ReadBufferSize:      readBufferSize,
		WriteBufferSize:     writeBufferSize,
	}
	p := &poller{
		watcher:  w,
		address:  address,
		client:   &http.Client{Transport: transport},
		schedule: newPollSchedule(w.clock.Now(), w.latestPoll),
		reports:  make(chan pollReport),
		cancels:  map[pollID]context.CancelCauseFunc{},
	}
	p.run(ctx)
	p.running.Wait()
	transport.CloseIdleConnections()
}

// run polls until ctx is done, which ends the open polls.
func (p *poller) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer func() { p.latestPoll = p.schedule.latestID }()
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-p.reports:
			p.takeReport(report)
		case <-timer.C:
		}
		if ctx.Err() != nil {
			return
		}
		now := p.clock.Now()
		p.giveUpExpired(now)
		if p.schedule.due(now) {
			p.begin(ctx, now)
		}
		timer.Reset(time.Duration(p.schedule.nextChange()-now) * time.Microsecond)
	}
}

// giveUpExpired ends the polls that are kept no longer.
func (p *poller) giveUpExpired(now int64) {
	for id := p.schedule.takeExpired(now); id != 0; id = p.schedule.takeExpired(now) {
		p.cancel(id)
		p.counters.Add(telemetry.EndpointListErrors)
		p.log.Warn().Err(fmt.Errorf("bulletin: %w", errSilent)).Msg("endpoint list not read, poll given up")
	}
}

// cancel ends a poll's goroutine.
func (p *poller) cancel(id pollID) {
	if cancel := p.cancels[id]; cancel != nil {
		cancel(errSilent)
	}
	delete(p.cancels, id)
}

// begin begins a poll, beside those that are late.
func (p *poller) begin(ctx context.Context, now int64) {
	if p.schedule.observeLateness() {
		p.counters.Add(telemetry.EndpointListErrors)
		p.log.Warn().Err(fmt.Errorf("bulletin: %w", errSilent)).Msg("endpoint list late, polled once more beside")
	}
	id := p.schedule.begin(now, p.wait)
	url := p.pollURL(p.address)
	polling, cancel := context.WithCancelCause(ctx)
	p.cancels[id] = cancel
	p.running.Go(func() {
		report := func(stage pollStage) { p.report(polling, pollReport{id: id, stage: stage}) }
		text, err := p.fetch(polling, url, report)
		p.report(polling, pollReport{id: id, stage: pollEnded, text: text, err: err})
	})
}

// report hands a report over, unless the poll was given up.
func (p *poller) report(ctx context.Context, report pollReport) {
	select {
	case p.reports <- report:
	case <-ctx.Done():
	}
}

// takeReport takes what a poll reports.
func (p *poller) takeReport(report pollReport) {
	now := p.clock.Now()
	if !p.schedule.isOpen(report.id) {
		return // it was given up meanwhile
	}
	switch report.stage {
	case pollConnected:
		p.schedule.connected(now, report.id)
	case pollAnswering:
		p.schedule.answerBegan(now, report.id)
	case pollEnded:
		defer p.cancel(report.id)
		page, err := p.parse(report)
		if err != nil {
			p.takeFailure(now, report.id, err)
			return
		}
		p.takePage(now, report.id, page)
	}
}

// parse reads the answer of a poll that has ended.
func (p *poller) parse(report pollReport) (Page, error) {
	if report.err != nil {
		return Page{}, report.err
	}
	page, err := ParsePage(report.text, p.clock)
	if errors.Is(err, ErrInvalidEndpoint) { // another poll would bring it again
		p.counters.Add(telemetry.EndpointListErrors)
		p.log.Warn().Err(err).Msg("endpoint list read in part")
		err = nil
	}
	return page, err
}

// takeFailure takes the failure of a poll.
func (p *poller) takeFailure(now int64, id pollID, err error) {
	p.counters.Add(telemetry.EndpointListErrors)
	pause := p.schedule.failed(now, id)
	p.log.Warn().Err(err).Dur("again_in", pause).Msg("endpoint list not read")
}

// takePage applies the answer of a poll.
func (p *poller) takePage(now int64, id pollID, page Page) {
	p.wait = pollWait
	news := page.Version > p.version
	wentBack := p.take(id, p.schedule.latestID, page)
	took, inTimeAgain := p.schedule.answered(now, id, news)
	if took > pollWait+answerTimeout {
		p.counters.Add(telemetry.EndpointListLate)
	}
	if inTimeAgain {
		p.log.Info().Msg("endpoint list in time again")
	}
	if wentBack {
		// What the others are answered belongs to versions that do not count any more.
		for _, poll := range p.schedule.takeAll(now) {
			p.cancel(poll.id)
		}
	}
}

// fetch polls once and returns the text of the answer.
func (p *poller) fetch(ctx context.Context, url string, reached func(pollStage)) ([]byte, error) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached(pollConnected) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("bulletin: %w", err)
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return nil, pollError(ctx, err)
	}
	defer answer.Body.Close()
	body := &firstByteReader{Reader: answer.Body, onFirstByte: func() { reached(pollAnswering) }}
	text, err := io.ReadAll(io.LimitReader(body, maxAnswer+1))
	if err != nil {
		return nil, pollError(ctx, err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, &statusError{status: answer.StatusCode}
	}
	if len(text) > maxAnswer {
		return nil, errAnswerTooLong
	}
	return text, nil
}

// pollURL is where the events after the last one are polled.
func (w *watcher) pollURL(address string) string {
	return "http://" + address + "/bulletins?after=" + strconv.FormatInt(w.version, 10) +
		"&patience=" + strconv.FormatInt(w.wait.Milliseconds(), 10)
}

// pollError wraps an error of a poll; the cause of a cancelled one is the silence that cancelled it.
func pollError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		err = errSilent
	}
	return fmt.Errorf("bulletin: %w", err)
}

// statusError reports an answer with a status other than 200.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("bulletin: status %d", e.status) }

// errAnswerTooLong reports an answer over maxAnswer.
var errAnswerTooLong = fmt.Errorf("bulletin: an answer of over %d bytes", maxAnswer)

// firstByteReader calls onFirstByte, once, when the first byte has been read.
type firstByteReader struct {
	io.Reader
	onFirstByte func()
}

// Read implements io.Reader.
func (r *firstByteReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 && r.onFirstByte != nil {
		r.onFirstByte()
		r.onFirstByte = nil
	}
	return n, err
}
