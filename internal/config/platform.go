package config

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/routing"
)

// Bounds and defaults of the platform's configuration. Durations in the file are nanoseconds.
const (
	defaultMemoryMB       = 192
	minMemoryMB           = 16
	defaultSockets        = 1024
	minSockets            = 32
	maxCount              = 1 << 20
	maxNanoseconds        = math.MaxInt64 / 4 // so that sums of a few stay in range
	defaultConnectTimeout = 5e8
	minConnectTimeout     = 1e6
	maxConnectTimeout     = 6e10
	defaultMaxRetryAfter  = 2e9
	maxOverloadMultiple   = 1e6
	maxWeight             = 1e12
	nanosPerMicro         = 1000
)

// Names of the first two fields of a load report where settings.stats.names gives none.
const (
	defaultReportFree   = "idle"
	defaultReportAgents = "circuits"
)

// Config is the configuration of one session controller.
type Config struct {
	Name           string
	Listen         string
	Seed           uint64
	MemoryMB       int
	Sockets        int
	EndpointList   string // address, "" for none
	Control        string // address for operators, "" for none
	KnownEndpoints endpointlist.Page

	PeerListen string   // UDP, "" where the platform gives no way between controllers
	Peers      []string // by number, the own one included

	Settings       eidertrail.Settings
	ReportFree     string   // the field of a pool's load report that holds its free agents
	ReportAgents   string   // and their number
	ReportNames    []string // every field of load reports, in order (settings.stats.names)
	ConnectTimeout int64    // microseconds
	MaxRetryAfter  int64    // microseconds, the longest wait that a caller is given
	RetryAfter     bool     // callers respect the wait that a rejection names
	Classes        []string
	Tenants        []string
	UnknownKeys    []string // paths of keys that this program does not know
}

// Load reads the file at path. now turns the start times of pools into clock readings.
func Load(path string, now *clock.Clock) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, WrapError(PlatformFile, "RELAY_CONFIG", err)
	}
	return Parse(text, now)
}

// Parse reads a configuration.
func Parse(text []byte, now *clock.Clock) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, &FieldError{File: PlatformFile, Reason: "not valid JSON"}
	}
	r := &jsonReader{checks: checks{file: PlatformFile}, root: gjson.ParseBytes(text)}
	if !r.root.IsObject() {
		return nil, &FieldError{File: PlatformFile, Reason: "not a JSON object"}
	}
	cfg := &Config{}
	cfg.readController(r)
	cfg.readSettings(r)
	cfg.UnknownKeys = unknownKeys(r.root)
	if r.err != nil {
		return nil, r.err
	}
	if err := cfg.readKnown(r.root, now); err != nil {
		return nil, err
	}
	if _, err := eidertrail.New(cfg.Settings, cfg.Seed); err != nil { // the module checks its settings
		return nil, WrapError(PlatformFile, "", err)
	}
	return cfg, nil
}

// readController reads the fields outside of settings. The first wrong field is reported, in this order.
func (c *Config) readController(r *jsonReader) {
	c.Name = r.headerText("name", false)
	c.Listen = r.address("listen", true)
	c.EndpointList = r.address("bulletin", false)
	c.Control = r.address("control", false)
	c.MemoryMB = r.count("limits.memory_mb", defaultMemoryMB, minMemoryMB)
	c.Sockets = r.count("limits.sockets", defaultSockets, minSockets)
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
}

// readKnown reads the endpoints that were known when the file was written.
func (c *Config) readKnown(root gjson.Result, now *clock.Clock) error {
	known := root.Get("known")
	if !known.Exists() {
		return nil
	}
	page, err := endpointlist.ParsePage([]byte(known.Raw), now)
	if err != nil {
		return WrapError(PlatformFile, "known", err)
	}
	c.KnownEndpoints = page
	return nil
}

func (c *Config) readSettings(r *jsonReader) {
	if !r.root.Get("settings").IsObject() {
		r.fail("settings", "want an object")
		return
	}
	s := &c.Settings
	s.Nodes = r.count("settings.balancers", 1, 1)
	s.Index = r.count("settings.index", 0, 0)
	s.OwnExchange = r.count("settings.extra.here", -1, -1)
	s.ReleaseWait = r.duration("settings.extra.clear_wait")
	s.RetransmitInterval = r.duration("settings.extra.t1")
	s.MaxAttempts = r.count("settings.caps.max_attempts", 0, 0)
	s.SlowStartWindow = r.duration("settings.rules.cold")
	s.SlowStartCapacity = r.number("settings.rules.cold_share", 0, 0, 1)
	s.OverloadMultiple = r.number("settings.rules.fall_multiple", 0, 0, maxOverloadMultiple)
	s.OverloadWindow = r.duration("settings.rules.tip_after")
	s.Tick = r.duration("settings.tick")
	c.ConnectTimeout = int64(r.number("settings.caps.connect_timeout",
		defaultConnectTimeout, minConnectTimeout, maxConnectTimeout)) / nanosPerMicro
	c.MaxRetryAfter = int64(r.number("settings.caps.max_retry_after",
		defaultMaxRetryAfter, 0, maxNanoseconds)) / nanosPerMicro
	c.RetryAfter = r.root.Get("settings.caps.retry_after").Bool()
	c.readClasses(r)
	for i := range r.list("settings.realms", false) {
		c.Tenants = append(c.Tenants, r.text(fmt.Sprintf("settings.realms.%d.name", i), true))
	}
	c.readReportNames(r)
}

func (c *Config) readClasses(r *jsonReader) {
	bySkill := r.root.Get("settings.extra.shape").Str == "skills"
	classes := r.list("settings.request_classes", true)
	if len(classes) > routing.MaxClasses {
		r.fail("settings.request_classes", fmt.Sprintf("want at most %d", routing.MaxClasses))
	}
	for i, fields := range classes {
		class := c.readClass(r, i, fields)
		if bySkill {
			class.Pools = readAllowedPools(r, i)
		}
		class.MeanHoldingTime = r.duration(fmt.Sprintf("settings.extra.mean_hold.%d", i))
		c.Settings.Classes = append(c.Settings.Classes, class)
		c.Classes = append(c.Classes, class.Name)
	}
}

func (c *Config) readClass(r *jsonReader, index int, fields gjson.Result) eidertrail.Class {
	prefix := fmt.Sprintf("settings.request_classes.%d.", index)
	class := eidertrail.Class{
		Name:             r.headerText(prefix+"name", true),
		LatencyObjective: r.duration(prefix + "promise"),
		Deadline:         r.duration(prefix + "deadline"),
		PriorityWeight:   r.number(prefix+"worth", 1, 0, maxWeight),
		LateFactor:       r.number(prefix+"late_worth", 0, 0, maxWeight),
	}
	if slices.Contains(c.Classes, class.Name) { // calls could name only one of them
		r.fail(prefix+"name", fmt.Sprintf("%q comes twice", class.Name))
	}
	switch effect := fields.Get("effect").String(); effect {
	case "", "safe":
	case "keyed":
		class.Idempotency = eidertrail.IdempotentByKey
	case "unsafe":
		class.Idempotency = eidertrail.NotIdempotent
	default:
		r.fail(prefix+"effect", fmt.Sprintf("%q is not known", effect))
	}
	if class.Deadline <= 0 {
		r.fail(prefix+"deadline", "want more than 0")
	}
	return class
}

// readAllowedPools are the groups of pools with the skill for a class, nil where the field is absent.
//
// A class that no pool has the skill for has an empty list, which must not become nil: nil means every pool.
func readAllowedPools(r *jsonReader, class int) []int {
	field := fmt.Sprintf("settings.extra.allowed_pools.%d", class)
	listed := r.list(field, false)
	var pools []int
	if _, found := r.get(field, false); found {
		pools = make([]int, 0, len(listed))
	}
	for i := range listed {
		pools = append(pools, r.count(fmt.Sprintf("%s.%d", field, i), 0, 0))
	}
	return pools
}

// readReportNames reads the names of a load report's fields: the first two are the free agents and their number,
// whatever they are called.
func (c *Config) readReportNames(r *jsonReader) {
	c.ReportFree, c.ReportAgents = defaultReportFree, defaultReportAgents
	for _, name := range r.list("settings.stats.names", false) {
		c.ReportNames = append(c.ReportNames, name.String())
	}
	if len(c.ReportNames) >= 2 {
		c.ReportFree, c.ReportAgents = c.ReportNames[0], c.ReportNames[1]
	}
}
