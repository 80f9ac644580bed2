package config_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/rollout/runner"
)

// encoding is a settings value as lines "setting = value", in an order and with names of this test's own.
type encoding struct {
	lines []string
}

func (e *encoding) add(field, value string) { e.lines = append(e.lines, field+" = "+value) }

func (e *encoding) text(field, value string) { e.add(field, strconv.QuoteToASCII(value)) }

func (e *encoding) integer(field string, value int64) { e.add(field, strconv.FormatInt(value, 10)) }

func (e *encoding) count(field string, value int) { e.integer(field, int64(value)) }

func (e *encoding) fraction(field string, value float64) {
	e.add(field, strconv.FormatFloat(value, 'g', -1, 64))
}

func (e *encoding) flag(field string, value bool) { e.add(field, strconv.FormatBool(value)) }

// duration is in nanoseconds.
func (e *encoding) duration(field string, value time.Duration) { e.integer(field, int64(value)) }

func (e *encoding) texts(field string, values []string) {
	quoted := make([]string, len(values))
	for i, v := range values {
		quoted[i] = strconv.QuoteToASCII(v)
	}
	e.list(field, quoted, values == nil)
}

func (e *encoding) counts(field string, values []int) {
	written := make([]string, len(values))
	for i, v := range values {
		written[i] = strconv.Itoa(v)
	}
	e.list(field, written, values == nil)
}

func (e *encoding) list(field string, written []string, isNil bool) {
	if isNil {
		e.add(field, "nil")
		return
	}
	e.add(field, "["+strings.Join(written, ", ")+"]")
}

// differences are the lines of e that from has not, and the settings of from that e has not.
func (e *encoding) differences(from *encoding) []string {
	var out []string
	fields := map[string]bool{}
	for _, line := range e.lines {
		field, _, _ := strings.Cut(line, " = ")
		fields[field] = true
		if !slices.Contains(from.lines, line) {
			out = append(out, line)
		}
	}
	for _, line := range from.lines {
		if field, _, _ := strings.Cut(line, " = "); !fields[field] {
			out = append(out, field+" is gone")
		}
	}
	return out
}

func readPlatform(t *testing.T, text string) (*encoding, error) {
	t.Helper()
	now := clock.New()
	platform, err := config.Parse([]byte(text), now)
	if err != nil {
		return nil, err
	}
	encoded := &encoding{}
	encoded.text("name", platform.Name)
	encoded.text("listen", platform.Listen)
	encoded.add("seed", strconv.FormatUint(platform.Seed, 16))
	encoded.count("limits.memory_mb", platform.MemoryMB)
	encoded.count("limits.sockets", platform.Sockets)
	encoded.text("bulletin", platform.EndpointList)
	encodeKnown(encoded, platform.KnownEndpoints, now)
	encoded.text("peer_listen", platform.PeerListen)
	encoded.texts("peers", platform.Peers)
	encodeSettings(encoded, platform.Settings)
	encoded.text("report.free", platform.ReportFree)
	encoded.text("report.agents", platform.ReportAgents)
	encoded.texts("report.names", platform.ReportNames)
	encoded.integer("connect_timeout_us", platform.ConnectTimeout)
	encoded.integer("max_retry_after_us", platform.MaxRetryAfter)
	encoded.texts("classes", platform.Classes)
	encoded.texts("tenants", platform.Tenants)
	return encoded, nil
}

// lateStart is the boot_ms that the full file gives a pool; its clock reading depends on when the test runs.
const lateStart = 4102444800000

func encodeKnown(encoded *encoding, known endpointlist.Page, now *clock.Clock) {
	encoded.integer("known.no", known.Version)
	encoded.count("known.items", len(known.Events))
	for i, item := range known.Events {
		prefix := fmt.Sprintf("known.items[%d].", i)
		encoded.integer(prefix+"no", item.Version)
		encoded.flag(prefix+"all", item.Snapshot)
		for j, pool := range item.Endpoints {
			prefix := fmt.Sprintf("%spools[%d].", prefix, j)
			encoded.text(prefix+"uid", pool.UID)
			encoded.text(prefix+"address", pool.Address)
			encoded.count(prefix+"group", pool.Group)
			encoded.text(prefix+"zone", pool.Zone)
			switch pool.StartedAt {
			case 0:
				encoded.add(prefix+"born", "0")
			case now.FromUnixMilli(lateStart):
				encoded.add(prefix+"born", "the clock's reading at boot_ms")
			default:
				encoded.add(prefix+"born", "another time")
			}
			switch pool.State {
			case endpointlist.Up:
				encoded.add(prefix+"state", "up")
			case endpointlist.Draining:
				encoded.add(prefix+"state", "draining")
			case endpointlist.Removed:
				encoded.add(prefix+"state", "removed")
			default:
				encoded.add(prefix+"state", "unknown")
			}
		}
	}
}

func encodeSettings(encoded *encoding, settings eidertrail.Settings) {
	encoded.count("settings.nodes", settings.Nodes)
	encoded.count("settings.index", settings.Index)
	encoded.count("settings.here", settings.OwnExchange)
	encoded.duration("settings.release", settings.ReleaseWait)
	encoded.duration("settings.resend", settings.RetransmitInterval)
	encoded.count("settings.max_attempts", settings.MaxAttempts)
	encoded.flag("settings.must_ask", settings.PollEndpoints)
	encoded.duration("settings.ask_within", settings.PollInterval)
	encoded.duration("settings.cold", settings.SlowStartWindow)
	encoded.fraction("settings.cold_share", settings.SlowStartCapacity)
	encoded.fraction("settings.fall_multiple", settings.OverloadMultiple)
	encoded.duration("settings.fall_after", settings.OverloadWindow)
	encoded.duration("settings.tick", settings.Tick)
	encoded.count("settings.classes", len(settings.Classes))
	for i, class := range settings.Classes {
		prefix := fmt.Sprintf("settings.classes[%d].", i)
		encoded.text(prefix+"name", class.Name)
		encoded.duration(prefix+"aim", class.LatencyObjective)
		encoded.duration(prefix+"deadline", class.Deadline)
		encoded.fraction(prefix+"worth", class.PriorityWeight)
		encoded.fraction(prefix+"late_worth", class.LateFactor)
		switch class.Idempotency {
		case eidertrail.Idempotent:
			encoded.add(prefix+"effect", "safe")
		case eidertrail.IdempotentByKey:
			encoded.add(prefix+"effect", "keyed")
		case eidertrail.NotIdempotent:
			encoded.add(prefix+"effect", "unsafe")
		default:
			encoded.add(prefix+"effect", "unknown")
		}
		encoded.counts(prefix+"pools", class.Pools)
		encoded.duration(prefix+"hold", class.MeanHoldingTime)
	}
}

// written puts the text into a file, for readers that take a path.
func written(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "input")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readCallControl(t *testing.T, text string) (*encoding, error) {
	t.Helper()
	c, err := config.LoadCallControl(written(t, text))
	if err != nil {
		return nil, err
	}
	encoded := &encoding{}
	encoded.text("listen", c.Listen)
	encoded.text("path", c.Path)
	encoded.texts("origins", c.Origins)
	encoded.count("max_connections", c.MaxConnections)
	encoded.text("agent_check", c.AgentCheck)
	encoded.text("health", c.Health)
	return encoded, nil
}

// clusterPlatform is the part of the platform's configuration that a cluster file is checked against.
func clusterPlatform() *config.Config {
	return &config.Config{
		PeerListen: "127.0.0.5:7946", Peers: []string{"127.0.0.4:7946", "127.0.0.5:7946", "127.0.0.6:7946"},
		Settings: eidertrail.Settings{Index: 1}, ReportNames: []string{"idle", "circuits", "max_rate"},
	}
}

func readCluster(t *testing.T, text string) (*encoding, error) {
	t.Helper()
	cluster, err := config.ParseCluster(text)
	if err != nil {
		return nil, err
	}
	node, err := cluster.Node(clusterPlatform())
	if err != nil {
		return nil, err
	}
	encoded := &encoding{}
	encoded.text("fleet", cluster.Fleet)
	encoded.duration("probe_interval", cluster.ProbeInterval)
	encoded.duration("probe_timeout", cluster.ProbeTimeout)
	encoded.count("indirect", cluster.Indirect)
	encoded.count("suspicion_mult", cluster.SuspicionMult)
	encoded.count("suspicion_max", cluster.SuspicionMax)
	encoded.count("retransmit", cluster.Retransmit)
	encoded.text("region", cluster.Region)
	encoded.texts("regions", cluster.Regions)
	encoded.text("rate", cluster.Rate())
	encodeNode(encoded, node)
	encodeBudget(encoded, cluster.Budget, node)
	return encoded, nil
}

func encodeNode(encoded *encoding, node swim.Config) {
	encoded.count("node.self", node.Self)
	encoded.count("node.members", node.Members)
	encoded.integer("node.interval_us", node.ProbeInterval)
	encoded.integer("node.timeout_us", node.ProbeTimeout)
	encoded.count("node.indirect", node.IndirectProbes)
	encoded.count("node.suspicion_mult", node.SuspicionMultiplier)
	encoded.count("node.suspicion_max", node.MaxSuspicionMultiplier)
	encoded.count("node.retransmit", node.RetransmitMultiplier)
}

func encodeBudget(encoded *encoding, b *config.Budget, node swim.Config) {
	if b == nil {
		encoded.add("budget", "none")
		return
	}
	encoded.duration("budget.lease", b.Lease)
	encoded.duration("budget.margin", b.Margin)
	encoded.fraction("budget.keep", b.Reserved)
	encoded.fraction("budget.cold_part", b.SlowStartFraction)
	encoded.text("budget.rate_field", b.RateField)
	ledger := b.Allocator(node, 77)
	encoded.count("ledger.self", ledger.Self)
	encoded.count("ledger.members", ledger.Members)
	encoded.integer("ledger.life", int64(ledger.Incarnation))
	encoded.count("ledger.unit", ledger.OwnedUnits)
	encoded.count("ledger.keep", ledger.Reserved)
	encoded.integer("ledger.lease_us", ledger.TTL)
	encoded.integer("ledger.margin_us", ledger.Margin)
}

func readDiscovery(t *testing.T, text string) (*encoding, error) {
	t.Helper()
	discovery, err := config.ParseDiscovery(text)
	if err != nil {
		return nil, err
	}
	encoded := &encoding{}
	encoded.text("server", discovery.Server)
	encoded.duration("timeout", discovery.Timeout)
	encoded.duration("refresh_floor", discovery.RefreshFloor)
	encoded.duration("refresh_ceiling", discovery.RefreshCeiling)
	encoded.fraction("jitter", discovery.Jitter)
	encoded.duration("stale_for", discovery.StaleFor)
	encoded.duration("drain_for", discovery.DrainFor)
	encoded.duration("tombstone", discovery.Tombstone)
	encoded.count("most_records", discovery.MaxRecords)
	encoded.count("names", len(discovery.Names))
	for i, name := range discovery.Names {
		at := fmt.Sprintf("name[%d].", i)
		encoded.text(at+"srv", name.SRV)
		encoded.count(at+"group", name.Group)
		encoded.text(at+"zone", name.Zone)
	}
	schedule := discovery.Schedule()
	encoded.integer("schedule.floor_us", schedule.Floor)
	encoded.integer("schedule.ceiling_us", schedule.Ceiling)
	encoded.fraction("schedule.jitter", schedule.Jitter)
	members := discovery.EndpointSet()
	encoded.integer("membership.stale_for_us", members.MaxStale)
	encoded.integer("membership.drain_for_us", members.DrainTimeout)
	encoded.integer("membership.tombstone_us", members.TombstoneTTL)
	encoded.count("membership.most_records", members.MaxRecords)
	encoded.count("membership.most_pools", members.MaxEndpoints)
	return encoded, nil
}

func readRouting(t *testing.T, text string) (*encoding, error) {
	t.Helper()
	r, err := config.ParseRouting(text)
	if err != nil {
		return nil, err
	}
	if _, err := r.Router(3, []string{"avail-read", "stop-sell"}); err != nil {
		return nil, err
	}
	encoded := &encoding{}
	encoded.text("zone", r.Zone)
	encoded.texts("zones", r.Zones)
	encoded.fraction("spill_share", r.SpillBudget)
	encoded.duration("spill_after", r.SpillDelay)
	encoded.duration("window", r.Window)
	encoded.fraction("out_share", r.EjectionThreshold)
	encoded.count("least", r.MinSamples)
	encoded.duration("hold", r.EjectionTime)
	encoded.duration("most_hold", r.MaxEjectionTime)
	encoded.duration("flap_within", r.FlapWindow)
	encoded.duration("warm_up", r.SlowStartWindow)
	encoded.fraction("warm_from", r.SlowStartCapacity)
	encodeTiers(encoded, "tiers", r.Tiers)
	classes := slices.Sorted(maps.Keys(r.Class))
	encoded.texts("class", classes)
	for _, name := range classes {
		encodeTiers(encoded, "class."+name+".tiers", r.Class[name].Tiers)
	}
	return encoded, nil
}

func encodeTiers(encoded *encoding, field string, tiers map[string][][]string) {
	zones := slices.Sorted(maps.Keys(tiers))
	encoded.texts(field, zones)
	for _, zone := range zones {
		encoded.count(field+"."+zone, len(tiers[zone]))
		for i, tier := range tiers[zone] {
			encoded.texts(fmt.Sprintf("%s.%s[%d]", field, zone, i), tier)
		}
	}
}

func readRollout(t *testing.T, text string) (*encoding, error) {
	t.Helper()
	f, err := runner.Load(written(t, text))
	if err != nil {
		return nil, err
	}
	plan, err := f.Plan()
	if err != nil {
		return nil, err
	}
	encoded := &encoding{}
	encoded.texts("stages", f.Stages)
	encoded.duration("min_time", f.MinTime)
	encoded.duration("most_time", f.MaxTime)
	encoded.integer("min_calls", f.MinCalls)
	encoded.duration("look_every", f.EvaluationInterval)
	encoded.fraction("confidence", f.Confidence)
	encoded.fraction("tolerance", f.Tolerance)
	encoded.duration("stop_within", f.StopTimeout)
	encoded.duration("ready_in", f.ReadyTimeout)
	encoded.text("old.binary", f.Old.Binary)
	encoded.text("new.binary", f.New.Binary)
	for i, c := range f.Controllers {
		at := fmt.Sprintf("controller[%d].", i)
		encoded.text(at+"name", c.Name)
		encoded.texts(at+"args", c.Args)
		encoded.text(at+"config", c.Config)
		encoded.text(at+"new_config", c.NewConfig)
		encoded.text(at+"pid_file", c.PIDFile)
		encoded.text(at+"log", c.Log)
		encoded.text(at+"health", c.Health)
	}
	encoded.texts("plan.controllers", plan.Controllers)
	encoded.counts("plan.stages", plan.Stages)
	encoded.integer("plan.min_time_ms", plan.MinTime)
	encoded.integer("plan.most_time_ms", plan.MaxTime)
	encoded.integer("plan.min_calls", plan.MinCalls)
	encoded.integer("plan.look_every_ms", plan.EvaluationInterval)
	encoded.fraction("plan.confidence", plan.Confidence)
	encoded.fraction("plan.tolerance", plan.Tolerance)
	return encoded, nil
}
