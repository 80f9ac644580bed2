package config_test

import (
	"fmt"
	"slices"
	"strings"
)

// edgesOf is the key with each of the values.
func edgesOf(key string, values ...string) []edge {
	edges := make([]edge, 0, len(values))
	for _, value := range values {
		edges = append(edges, edge{key, value})
	}
	return edges
}

// addressEdges are an address's texts that are taken or not.
func addressEdges(key string) []edge {
	return edgesOf(key, `""`, `"x"`, `"127.0.0.1"`, `"127.0.0.1:"`, `":1"`, `"host:name"`, `"[::1]:1"`, `"::1:1"`,
		`"127.0.0.1:99999"`)
}

// nameEdges are the texts of a name that stands in a SIP header.
func nameEdges(key string) []edge {
	return edgesOf(key, `""`, `" a"`, `"a "`, `"a\tb"`, `"a\r\nb"`, `"a\u007fb"`, `"a\u0085b"`, `"a\u0000b"`,
		`"\u00d8re \"x\""`,
		`"`+strings.Repeat("a", 256)+`"`, `"`+strings.Repeat("a", 257)+`"`, `"`+strings.Repeat("\u00fc", 128)+`"`,
		`"`+strings.Repeat("\u00fc", 129)+`"`)
}

// durationEdges are the nanoseconds of a duration of the platform's configuration.
func durationEdges(key string) []edge {
	return edgesOf(key, "-1", "0", "1", "1.5", "2305843009213693951", "2305843009213694464", "1e300")
}

func platformEdges() []edge {
	return slices.Concat(
		nameEdges("name"), addressEdges("listen"), addressEdges("bulletin"), addressEdges("peer_listen"),
		addressEdges("peers.1"),
		edgesOf("seed", `""`, `"0"`, `"x"`, `"-1"`, `"0x1"`, `"ffffffffffffffff"`, `"10000000000000000"`, `"FF"`),
		edgesOf("limits.memory_mb", "15", "15.9", "16", "100.7", "1048576", "1048577"),
		edgesOf("limits.sockets", "31", "32", "1048576", "1048577"),
		edgesOf("settings.balancers", "0", "1", "2", "3", "1048576", "1048577"),
		edgesOf("settings.index", "-1", "0", "5", "6", "1048577"),
		edgesOf("settings.extra.here", "-2", "-1", "0", "1048576", "1048577"),
		durationEdges("settings.extra.clear_wait"), durationEdges("settings.extra.t1"),
		edgesOf("settings.caps.max_attempts", "-1", "0", "1", "1048576", "1048577"),
		edgesOf("settings.caps.connect_timeout", "999999", "1000000", "1000999", "60000000000", "60000000001"),
		durationEdges("settings.caps.max_retry_after"),
		durationEdges("settings.rules.cold"),
		edgesOf("settings.rules.cold_share", "-0.001", "0", "1", "1.001"),
		edgesOf("settings.rules.fall_multiple", "-0.001", "0", "1e6", "1000000.5"),
		durationEdges("settings.rules.tip_after"), durationEdges("settings.tick"),
		platformClassEdges(),
		edgesOf("settings.realms.0.name", `""`, `" a\r\n"`),
		edgesOf("settings.stats.names", `[]`, `["one"]`, `["one", "two"]`, `[7, true]`),
		edgesOf("known", `{}`, `{"no": 1}`, `{"no": 1, "items": 7}`, `{"no": "1"}`),
		edgesOf("known.items.0.roster.targets.0.state", `"up"`, `"removed"`, `"odd"`),
		edgesOf("known.items.0.roster.targets.0.uid", `""`),
		edgesOf("known.items.0.roster.targets.0.endpoint", `""`, `"x"`),
		edgesOf("known.items.0.roster.targets.1.endpoint", `""`, `"x"`),
	)
}

func platformClassEdges() []edge {
	const class = "settings.request_classes.0."
	many := func(n int) string {
		classes := make([]string, n)
		for i := range classes {
			classes[i] = fmt.Sprintf(`{"name": "c%d", "deadline": 1}`, i)
		}
		return "[" + strings.Join(classes, ", ") + "]"
	}
	return slices.Concat(
		edgesOf("settings.request_classes", "[]", many(1), many(64), many(65)),
		nameEdges(class+"name"), edgesOf(class+"name", `"stop-sell"`),
		durationEdges(class+"promise"), durationEdges(class+"deadline"),
		edgesOf(class+"worth", "-0.001", "0", "1e12", "1000000000000.5"),
		edgesOf(class+"late_worth", "-0.001", "0", "1e12", "1000000000000.5"),
		edgesOf(class+"effect", `""`, `"safe"`, `"keyed"`, `"unsafe"`, `"Safe"`, `"odd"`),
		edgesOf("settings.extra.shape", `"skills"`, `"network"`, `"Skills"`),
		edgesOf("settings.extra.allowed_pools", "[]", "[[1]]", "[[1], [2], [3]]", "[null, null]"),
		edgesOf("settings.extra.allowed_pools.0.0", "-1", "0", "1048576", "1048577"),
		edgesOf("settings.extra.mean_hold", "[]", "[1]"),
		durationEdges("settings.extra.mean_hold.0"),
	)
}

func callControlEdges() []edge {
	return slices.Concat(
		addressEdges("listen"), addressEdges("agent_check"), addressEdges("health"),
		edgesOf("path", `""`, `"/"`, `"x"`, `" /x"`),
		edgesOf("origins", `[]`, `[""]`, `["*"]`),
		edgesOf("max_connections", "-1", "0", "1", "1024", "1025"),
	)
}

func clusterEdges() []edge {
	long := func(n int) string { return `"` + strings.Repeat("a", n) + `"` }
	return slices.Concat(
		edgesOf("fleet", `""`, long(300)),
		edgesOf("probe_interval", `"-1s"`, `"9ms"`, `"9999us"`, `"799ms"`, `"800ms"`, `"1h"`, `1000000000`),
		edgesOf("probe_timeout", `"0s"`, `"999ns"`, `"1us"`, `"750ms"`, `"751ms"`, `"-1s"`),
		edgesOf("indirect", "-1", "0", "16", "17"),
		edgesOf("suspicion_mult", "1", "2", "64", "65"),
		edgesOf("suspicion_max", "0", "1", "64", "65"),
		edgesOf("retransmit", "0", "1", "16", "17"),
		edgesOf("region", `""`, `"batumi"`, `"a b"`, long(32), long(33)),
		edgesOf("regions", `[]`, `["tbilisi"]`, `["a", "tbilisi", "c", "d"]`, `["a b", "tbilisi", "c"]`,
			`["a", "tbilisi", ""]`,
			`["a", "x", "c"]`, `["A._-9", "tbilisi", `+long(32)+`]`, `["a", "tbilisi", `+long(33)+`]`),
		edgesOf("budget.lease", `"99ms"`, `"100ms"`, `"1m"`, `"60001ms"`, `"-1s"`),
		edgesOf("budget.margin", `"149ms"`, `"150ms"`, `"1m"`, `"60001ms"`, `"-1s"`),
		edgesOf("budget.keep", "-0.001", "0.0", "1.0", "1.001", "nan", "inf"),
		edgesOf("budget.cold_part", "0.0", "0.001", "1.0", "1.001", "nan", "-inf"),
		edgesOf("budget.rate_field", `""`, `"idle"`, `"odd"`),
	)
}

func discoveryEdges() []edge {
	names := func(n int) string {
		written := make([]string, n)
		for i := range written {
			written[i] = fmt.Sprintf(`{srv = "_sip._tcp.g%d.example.org", group = %d}`, i, i)
		}
		return "[" + strings.Join(written, ", ") + "]"
	}
	return slices.Concat(
		addressEdges("server"),
		edgesOf("timeout", `"9ms"`, `"10ms"`, `"10s"`, `"10001ms"`),
		edgesOf("refresh_floor", `"99ms"`, `"100ms"`, `"6m"`, `"361s"`, `"1h"`, `"3601s"`),
		edgesOf("refresh_ceiling", `"1999ms"`, `"2s"`, `"24h"`, `"86401s"`),
		edgesOf("jitter", "-0.001", "0.0", "0.5", "0.501", "nan"),
		edgesOf("stale_for", `"-1ns"`, `"0s"`, `"24h"`, `"86401s"`),
		edgesOf("drain_for", `"-1ns"`, `"0s"`, `"1h"`, `"3601s"`),
		edgesOf("tombstone", `"-1ns"`, `"0s"`, `"24h"`, `"86401s"`),
		edgesOf("most_records", "0", "1", "64", "65", "128", "129", "256", "257", "1000000"),
		edgesOf("name", `[]`, names(1), names(32), names(33)),
		edgesOf("name[0].srv", `""`, `"."`, `"pools.example.org"`, `"_sip.tcp.example.org"`, `"_sip._tcp"`, `"_sip._tcp.org"`,
			`"_sip._tcp..org"`, `"_SIP._tcp.G2.pools.example.org"`, `"_sip._tcp.`+strings.Repeat("a", 64)+`"`),
		edgesOf("name[0].group", "-1", "0", "65536", "65537"),
		edgesOf("name[1].zone", `""`),
	)
}

func routingEdges() []edge {
	zones := func(n int) string {
		written := []string{`"batumi"`, `"tbilisi"`, `"kutaisi"`, `"telavi"`}
		for i := len(written); i < n; i++ {
			written = append(written, fmt.Sprintf(`"z%d"`, i))
		}
		return "[" + strings.Join(written, ", ") + "]"
	}
	durations := func(key string) []edge { return edgesOf(key, `"-1us"`, `"-1ns"`, `"0s"`, `"1us"`, `"1h"`) }
	return slices.Concat(
		edgesOf("zone", `""`, `"poti"`, `"telavi"`),
		edgesOf("zones", `[]`, `["batumi"]`, zones(64), zones(65)),
		edgesOf("spill_share", "-0.001", "0.0", "1.0", "1.001", "nan"),
		durations("spill_after"), durations("window"),
		edgesOf("out_share", "0.0", "0.001", "1.0", "1.001", "nan"),
		edgesOf("least", "-1", "0", "1", "1000"),
		durations("hold"), edgesOf("hold", `"3m"`, `"181s"`),
		durations("most_hold"), edgesOf("most_hold", `"11999ms"`, `"12s"`),
		durations("flap_within"), durations("warm_up"),
		edgesOf("warm_from", "0.0", "0.001", "1.0", "1.001", "nan"),
		edgesOf("tiers", `{}`, `{gori = []}`, `{batumi = []}`),
		edgesOf("tiers.batumi", `[[]]`, `[["gori"]]`, `[["batumi"]]`, `[["tbilisi"], ["tbilisi"]]`,
			`[["tbilisi", "tbilisi"]]`),
		edgesOf("class", `{}`, `{fax = {}}`, `{avail-read = {}}`),
		edgesOf("class.stop-sell.tiers.batumi", `[[]]`, `[["gori"]]`, `[["batumi"]]`, `[["tbilisi"], ["tbilisi"]]`),
	)
}

func rolloutEdges() []edge {
	controllers := func(n int) string {
		written := make([]string, n)
		for i := range written {
			written[i] = fmt.Sprintf(`{name = "n%d", config = "c", pid_file = "p", log = "l", health = "h"}`, i)
		}
		return "[" + strings.Join(written, ", ") + "]"
	}
	return slices.Concat(
		edgesOf("stages", `[]`, `["3"]`, `["2"]`, `["4"]`, `["0", "3"]`, `["1", "1", "3"]`, `["2", "1", "3"]`,
			`["x"]`, `["1.5", "3"]`,
			`["0%", "3"]`, `["101%"]`, `["x%"]`, `["nan%"]`, `["33.3%", "66.7%", "100%"]`, `["-1", "3"]`),
		edgesOf("min_time", `"-1s"`, `"0s"`, `"20m"`, `"1201s"`),
		edgesOf("most_time", `"0s"`, `"119s"`, `"2m"`, `"999us"`),
		edgesOf("min_calls", "-1", "9", "10"),
		edgesOf("look_every", `"0s"`, `"49ms"`, `"49999us"`, `"50ms"`),
		edgesOf("confidence", "0.899", "0.9", "0.999999", "1.0", "nan"),
		edgesOf("tolerance", "-0.001", "0.0", "0.5", "0.501", "nan"),
		edgesOf("stop_within", `"0s"`, `"-1ns"`, `"1ns"`),
		edgesOf("ready_in", `"0s"`, `"-1ns"`, `"1ns"`),
		edgesOf("old.binary", `""`), edgesOf("new.binary", `""`, `"bin/daemon"`),
		edgesOf("old", `{}`), edgesOf("new", `{}`),
		edgesOf("controller", `[]`, controllers(1), controllers(2), controllers(3), controllers(256), controllers(257)),
		edgesOf("controller[1].name", `""`, `"n0"`), edgesOf("controller[1].args", `[""]`),
		edgesOf("controller[1].config", `""`), edgesOf("controller[1].new_config", `""`),
		edgesOf("controller[1].pid_file", `""`),
		edgesOf("controller[1].log", `""`), edgesOf("controller[1].health", `""`, `"x"`),
	)
}
