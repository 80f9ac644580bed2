package daemon

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// span is a figure of a site file: a number, or the two ends of a range.
type span struct{ min, max float64 }

// UnmarshalTOML implements toml.Unmarshaler.
func (s *span) UnmarshalTOML(value any) error {
	list, isList := value.([]any)
	if !isList {
		list = []any{value, value}
	}
	if len(list) != 2 {
		return fmt.Errorf("%v is no range", value)
	}
	for i, bound := range []*float64{&s.min, &s.max} {
		switch n := list[i].(type) {
		case int64:
			*bound = float64(n)
		case float64:
			*bound = n
		default:
			return fmt.Errorf("%v is no number", value)
		}
	}
	return nil
}

func (s span) middle() float64 { return (s.min + s.max) / 2 }

// siteFile is what of a bench's site file reaches a controller in its settings.
type siteFile struct {
	Name string
	Day  struct {
		Tick span `toml:"tick_ms"`
	}
	Scale   struct{ Balancers span }
	Clients struct {
		MaxRetryAfter span `toml:"max_retry_after_ms"`
	}
	Allow struct {
		MaxAttempts int `toml:"max_attempts"`
	}
	Rules struct {
		Drain        span    `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
		Fall         span    `toml:"fall_ms"`
	}
	Tier []struct {
		Report struct{ Fields []string }
		Conn   struct {
			Timeout span `toml:"connect_timeout_ms"`
		}
		Kind []struct {
			ColdFrom span `toml:"cold_from"`
			Cold     span `toml:"cold_s"`
		}
	}
	Class []struct {
		Name      string
		Aim       span `toml:"aim_ms"`
		Deadline  span `toml:"deadline_ms"`
		Worth     float64
		LateWorth float64 `toml:"late_worth"`
		Effect    string
	}
	Tenant []struct {
		Name  string
		Share float64
	}
	Fam struct {
		Hold    span `toml:"hold_s"`
		Resend  span `toml:"resend_ms"`
		Release span `toml:"release_ms"`
		Class   []struct {
			Hold    float64
			Skilled span
		}
	}
}

// reportNames are what reports' fields are called in the settings, by the site files' words.
var reportNames = map[string]string{
	"x0": "idle", "x1": "circuits", "inflight": "outstanding", "queue": "backlog",
	"util": "utilization", "latency_ms": "recent_ms", "qps": "max_rate", "eps": "reduce",
}

func loadSite(t *testing.T, path string) siteFile {
	t.Helper()
	var s siteFile
	if _, err := toml.DecodeFile(path, &s); err != nil {
		t.Fatal(err)
	}
	if len(s.Tier) != 1 || len(s.Tier[0].Kind) != 1 || len(s.Class) == 0 || len(s.Class) != len(s.Fam.Class) ||
		len(s.Tenant) == 0 {
		t.Fatalf("%s: %d tiers, %d classes, %d of them with a hold, %d tenants",
			path, len(s.Tier), len(s.Class), len(s.Fam.Class), len(s.Tenant))
	}
	return s
}

// allowedGroups are the groups, of so many, that a class may use: its part of them, each class from another one on.
func (s *siteFile) allowedGroups(class, groups int) []int {
	count := max(1, int(math.Round(s.Fam.Class[class].Skilled.middle()*float64(groups))))
	allowed := make([]int, min(count, groups))
	for i := range allowed {
		allowed[i] = (class + i) % groups
	}
	slices.Sort(allowed)
	return allowed
}

// attemptTimer is t1 of the settings, which is no figure of the site: attempts are waited for for twice as long, so
// that no result depends on the speed of the machine.
const attemptTimer = time.Minute

// nanoseconds is a duration of the settings.
func nanoseconds(milliseconds float64) int64 { return int64(milliseconds * 1e6) }

// configuration is RELAY_CONFIG for one controller of the site over fake pools at the addresses, group by group. Ranges
// stand at their middles, but for the slow start, of which the settings have the worst.
func (s *siteFile) configuration(t *testing.T, addresses []string) string {
	t.Helper()
	roster := map[string]any{"all": true, "targets": targetSettings(addresses)}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": anyAddress, "seed": "1", "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"no": 1, "items": []any{map[string]any{"no": 1, "roster": roster}}},
		"settings": s.settings(t, len(addresses)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func targetSettings(addresses []string) []any {
	targets := make([]any, len(addresses))
	for i, address := range addresses {
		targets[i] = map[string]any{
			"uid": fmt.Sprintf("s-%d", i), "endpoint": address, "pod_group": i, "state": "up", "boot_ms": 0,
		}
	}
	return targets
}

func (s *siteFile) settings(t *testing.T, groups int) map[string]any {
	t.Helper()
	tier := s.Tier[0]
	return map[string]any{
		"balancers": int(s.Scale.Balancers.max), "index": 0, "tick": nanoseconds(s.Day.Tick.middle()),
		"caps": map[string]any{
			"max_attempts": s.Allow.MaxAttempts, "connect_timeout": nanoseconds(tier.Conn.Timeout.middle()),
			"max_retry_after": nanoseconds(s.Clients.MaxRetryAfter.middle()),
		},
		"extra": s.extraSettings(groups),
		"rules": map[string]any{
			"cold": nanoseconds(1000 * tier.Kind[0].Cold.max), "cold_share": tier.Kind[0].ColdFrom.min,
			"fall_multiple": s.Rules.FallMultiple, "tip_after": nanoseconds(s.Rules.Fall.middle()),
			"drain_grace": nanoseconds(s.Rules.Drain.middle()),
		},
		"request_classes": s.classSettings(), "realms": s.tenantSettings(),
		"stats": map[string]any{"names": s.reportFields(t), "via": "piggyback"},
	}
}

func (s *siteFile) extraSettings(groups int) map[string]any {
	allowed, holds := make([]any, len(s.Class)), make([]any, len(s.Class))
	for i := range s.Class {
		allowed[i] = s.allowedGroups(i, groups)
		holds[i] = nanoseconds(1000 * s.Fam.Hold.middle() * s.Fam.Class[i].Hold)
	}
	return map[string]any{
		"here": -1, "shape": "skills", "allowed_pools": allowed, "mean_hold": holds,
		"clear_wait": nanoseconds(s.Fam.Release.middle()), "t1": int64(attemptTimer),
	}
}

func (s *siteFile) classSettings() []any {
	classes := make([]any, len(s.Class))
	for i, class := range s.Class {
		classes[i] = map[string]any{
			"name": class.Name, "promise": nanoseconds(class.Aim.middle()), "deadline": nanoseconds(class.Deadline.middle()),
			"worth": class.Worth, "late_worth": class.LateWorth, "effect": class.Effect, "group": "all", "streaming": true,
		}
	}
	return classes
}

func (s *siteFile) tenantSettings() []any {
	tenants := make([]any, len(s.Tenant))
	for i, tenant := range s.Tenant {
		tenants[i] = map[string]any{"name": tenant.Name, "share": tenant.Share, "quota_per_s": 10 * tenant.Share}
	}
	return tenants
}

// reportFields are the names of load reports' fields in the settings.
func (s *siteFile) reportFields(t *testing.T) []string {
	t.Helper()
	names := make([]string, len(s.Tier[0].Report.Fields))
	for i, field := range s.Tier[0].Report.Fields {
		name, known := reportNames[field]
		if !known {
			t.Fatalf("%s: report field %q has no name in the settings", s.Name, field)
		}
		names[i] = name
	}
	return names
}

func (s *siteFile) classNames() []string {
	names := make([]string, len(s.Class))
	for i, class := range s.Class {
		names[i] = class.Name
	}
	return names
}

func (s *siteFile) tenantNames() []string {
	names := make([]string, len(s.Tenant))
	for i, tenant := range s.Tenant {
		names[i] = tenant.Name
	}
	return names
}
