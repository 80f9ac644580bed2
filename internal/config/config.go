// Package config reads what the platform tells a session controller. Every
// error is one line that names the field.
package config

import (
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/routing"
)

// Config is the configuration of one session controller.
type Config struct {
	Name           string
	Listen         string
	Seed           uint64
	MemoryMB       int
	Sockets        int
	EndpointList   string // address, "" for none
	KnownEndpoints endpointlist.Page

	PeerListen string   // UDP, "" where the platform gives no way between controllers
	Peers      []string // by number, the own one included

	Settings       eidertrail.Settings
	ReportFree     string   // the field of a pool's report that holds its free agents
	ReportAgents   string   // and their number
	ReportNames    []string // every field that reports are said to carry, in order (settings.stats.names)
	ConnectTimeout int64    // microseconds
	MaxRetryAfter  int64    // microseconds, the longest wait a caller is told
	Classes        []string
	Tenants        []string
}

// Load reads the file at path. now turns the start times of pools into clock readings.
func Load(path string, now *clock.Clock) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: RELAY_CONFIG: %w", err)
	}
	return Parse(text, now)
}

// Parse reads a configuration.
func Parse(text []byte, now *clock.Clock) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, fmt.Errorf("config: not valid JSON")
	}
	r := &reader{root: gjson.ParseBytes(text)}
	if !r.root.IsObject() {
		return nil, fmt.Errorf("config: not a JSON object")
	}
	c := &Config{
		Name:         r.headerText("name", false),
		Listen:       r.address("listen", true),
		EndpointList: r.address("bulletin", false),
		MemoryMB:     int(r.number("limits.memory_mb", 192, 16, 1<<20)),
		Sockets:      int(r.number("limits.sockets", 1024, 32, 1<<20)),
	}
	if seed := r.text("seed", false); seed != "" {
		var err error
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			r.fail("seed", "want up to 16 hex digits")
		}
	}
	c.PeerListen = r.address("peer_listen", false)
	for i := range r.list("peers", false) {
		c.Peers = append(c.Peers, r.address(fmt.Sprintf("peers.%d", i), true))
	}
	r.settings(c)
	if r.err != nil {
		return nil, r.err
	}
	if known := r.root.Get("known"); known.Exists() {
		page, err := endpointlist.ParsePage([]byte(known.Raw), now)
		if err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
		c.KnownEndpoints = page
	}
	if _, err := eidertrail.New(c.Settings, c.Seed); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

func (r *reader) settings(c *Config) {
	const most = math.MaxInt64 / 4
	duration := func(path string) time.Duration { return time.Duration(r.number(path, 0, 0, most)) }
	if !r.root.Get("settings").IsObject() {
		r.fail("settings", "want an object")
		return
	}
	s := &c.Settings
	s.Nodes = int(r.number("settings.balancers", 1, 1, 1<<20))
	s.Index = int(r.number("settings.index", 0, 0, 1<<20))
	s.OwnExchange = int(r.number("settings.extra.here", -1, -1, 1<<20))
	s.ReleaseWait = duration("settings.extra.clear_wait")
	s.RetransmitInterval = duration("settings.extra.t1")
	s.MaxAttempts = int(r.number("settings.caps.max_attempts", 0, 0, 1<<20))
	s.SlowStartWindow = duration("settings.rules.cold")
	s.SlowStartCapacity = r.number("settings.rules.cold_share", 0, 0, 1)
	s.OverloadMultiple = r.number("settings.rules.fall_multiple", 0, 0, 1e6)
	s.OverloadWindow = duration("settings.rules.tip_after")
	s.Tick = duration("settings.tick")
	c.ConnectTimeout = int64(r.number("settings.caps.connect_timeout", 5e8, 1e6, 6e10)) / 1000
	c.MaxRetryAfter = int64(r.number("settings.caps.max_retry_after", 2e9, 0, most)) / 1000
	skills := r.root.Get("settings.extra.shape").Str == "skills"
	classes := r.list("settings.request_classes", true)
	if len(classes) > routing.MaxClasses {
		r.fail("settings.request_classes", fmt.Sprintf("want at most %d", routing.MaxClasses))
	}
	for i, k := range classes {
		at := fmt.Sprintf("settings.request_classes.%d.", i)
		class := eidertrail.Class{
			Name: r.headerText(at+"name", true), LatencyObjective: duration(at + "promise"), Deadline: duration(at + "deadline"),
			PriorityWeight: r.number(at+"worth", 1, 0, 1e12), LateFactor: r.number(at+"late_worth", 0, 0, 1e12),
		}
		if slices.Contains(c.Classes, class.Name) { // calls could name only one of them
			r.fail(at+"name", fmt.Sprintf("%q comes twice", class.Name))
		}
		switch effect := k.Get("effect").String(); effect {
		case "", "safe":
		case "keyed":
			class.Idempotency = eidertrail.IdempotentByKey
		case "unsafe":
			class.Idempotency = eidertrail.NotIdempotent
		default:
			r.fail(at+"effect", fmt.Sprintf("%q is not known", effect))
		}
		if class.Deadline <= 0 {
			r.fail(at+"deadline", "want more than 0")
		}
		if skills {
			pools := fmt.Sprintf("settings.extra.allowed_pools.%d", i)
			// Guards against a class that no pool has the skill for being sent to all of them: only nil is all.
			if _, is := r.get(pools, false); is {
				class.Pools = []int{}
			}
			for j := range r.list(pools, false) {
				class.Pools = append(class.Pools, int(r.number(fmt.Sprintf("%s.%d", pools, j), 0, 0, 1<<20)))
			}
		}
		class.MeanHoldingTime = duration(fmt.Sprintf("settings.extra.mean_hold.%d", i))
		s.Classes = append(s.Classes, class)
		c.Classes = append(c.Classes, class.Name)
	}
	for i := range r.list("settings.realms", false) {
		c.Tenants = append(c.Tenants, r.text(fmt.Sprintf("settings.realms.%d.name", i), true))
	}
	c.ReportFree, c.ReportAgents = "idle", "circuits"
	for _, n := range r.list("settings.stats.names", false) {
		c.ReportNames = append(c.ReportNames, n.String())
	}
	if len(c.ReportNames) >= 2 { // the first two are these, whatever their names
		c.ReportFree, c.ReportAgents = c.ReportNames[0], c.ReportNames[1]
	}
}

// reader keeps the first error.
type reader struct {
	root gjson.Result
	err  error
}

func (r *reader) fail(field, what string) {
	if r.err == nil {
		r.err = fmt.Errorf("config: %s: %s", field, what)
	}
}

func (r *reader) get(field string, must bool) (gjson.Result, bool) {
	v := r.root.Get(field)
	if v.Exists() && v.Type != gjson.Null {
		return v, true
	}
	if must {
		r.fail(field, "absent")
	}
	return v, false
}

func (r *reader) text(field string, must bool) string {
	v, is := r.get(field, must)
	if is && v.Type != gjson.String {
		r.fail(field, "want a string")
	}
	return v.Str
}

// mostName is the most bytes of a name that stands in the head of a message.
const mostName = 256

// headerText is a text that stands as the value of a SIP header, and is to come out of it unchanged.
//
// Guards against a name that ends its header and begins another, or that the reader of the header cuts short: every
// set-up of that class, or of that controller, would be another than the caller's.
func (r *reader) headerText(field string, must bool) string {
	text := r.text(field, must)
	switch {
	case text == "" && must:
		r.fail(field, "empty")
	case len(text) > mostName:
		r.fail(field, fmt.Sprintf("want at most %d bytes", mostName))
	case !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl):
		r.fail(field, fmt.Sprintf("%q holds control characters or is not UTF-8", text))
	case text != strings.Trim(text, " "):
		r.fail(field, fmt.Sprintf("%q begins or ends with a space", text))
	}
	return text
}

func (r *reader) address(field string, must bool) string {
	text := r.text(field, must)
	if text == "" && must {
		r.fail(field, "empty")
	}
	r.checkAddress(field, text)
	return text
}

func (r *reader) checkAddress(field, text string) {
	if text == "" {
		return
	}
	if _, port, err := net.SplitHostPort(text); err != nil || port == "" {
		r.fail(field, fmt.Sprintf("%q is not address:port", text))
	}
}

func (r *reader) number(field string, absent, least, most float64) float64 {
	v, is := r.get(field, false)
	if !is {
		return absent
	}
	if v.Type != gjson.Number || v.Num < least || v.Num > most {
		r.fail(field, fmt.Sprintf("%.40s is not a number from %g to %g", v.Raw, least, most))
		return absent
	}
	return v.Num
}

func (r *reader) list(field string, must bool) []gjson.Result {
	v, is := r.get(field, must)
	if is && !v.IsArray() {
		r.fail(field, "want a list")
		return nil
	}
	a := v.Array()
	if must && len(a) == 0 {
		r.fail(field, "empty")
	}
	return a
}
