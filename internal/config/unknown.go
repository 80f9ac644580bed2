package config

import (
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

const (
	// maxUnknown bounds the names of keys or variables that are listed.
	maxUnknown = 32
	// maxUnknownLength bounds a listed name, in bytes.
	maxUnknownLength = 120
	// variablePrefix begins the names of the platform's environment variables.
	variablePrefix = "RELAY_"
)

// Environment variables of the platform.
const (
	variableConfig  = variablePrefix + "CONFIG"
	variableListen  = variablePrefix + "LISTEN"
	variableName    = variablePrefix + "NAME" // the configuration's name says the same
	VariableControl = variablePrefix + "CONTROL"
)

// knownKeys are the keys of the platform's configuration by the path of their object, "" for the document; the elements
// of a list have the list's path. They include the keys that the platform's pages explain and that have no effect on a
// session controller on sockets, such as the prices of the simulator.
//
//nolint:gochecknoglobals // a constant table, which Go has no constant form for
var knownKeys = map[string]string{
	"":       "name listen control seed limits peer_listen peers peers_all bulletin known settings",
	"limits": "cores memory_mb sockets",
	"settings": "balancers caps clients discovery extra family goal index layer layers localities over_share_worth " +
		"prices realms request_classes rules skus stats tick weights worth_by zone",
	"settings.caps": "cancel connect_timeout cpu_us_per_request cpu_us_per_s keepalive may_duplicate max_attempts " +
		"max_retry_after most_held peers probes retry_after streams_per_conn",
	"settings.clients": "marks_retry",
	"settings.extra": "allowed_pools clear_wait far_state gives_wait here mean_hold route_advice shape t1 " +
		"tells_wait widths",
	"settings.goal": "whole worst_class worst_tenant worst_window",
	"settings.prices": "connection cross_zone discovery fleet handshake late_fail moves origin peer probe tandem " +
		"waste",
	"settings.realms":          "name quota_per_s share",
	"settings.request_classes": "aim_stretch deadline effect group late_worth name promise streaming window worth",
	"settings.rules":           "answer_slack ask_within cold cold_share drain_grace fall_multiple tip_after",
	"settings.stats":           "names via",
}

// unknownKeys returns the paths of the document's keys that this program does not know, in order. The events in known
// are the endpoint list's, whose items may be of kinds that do not concern a controller.
func unknownKeys(document gjson.Result) []string {
	unknown := map[string]bool{}
	collectUnknown(document, "", unknown)
	sorted := slices.Sorted(maps.Keys(unknown))
	return sorted[:min(len(sorted), maxUnknown)]
}

func collectUnknown(value gjson.Result, path string, unknown map[string]bool) {
	listed, isObject := knownKeys[path]
	if !isObject {
		return
	}
	if value.IsArray() {
		value.ForEach(func(_, element gjson.Result) bool {
			collectUnknown(element, path, unknown)
			return true
		})
		return
	}
	if !value.IsObject() {
		return
	}
	known := strings.Fields(listed)
	value.ForEach(func(key, field gjson.Result) bool {
		fieldPath := strings.TrimPrefix(path+"."+key.Str, ".")
		if !slices.Contains(known, key.Str) {
			unknown[fieldPath[:min(len(fieldPath), maxUnknownLength)]] = true
			return true
		}
		collectUnknown(field, fieldPath, unknown)
		return true
	})
}

// UnknownVariables returns the names of the platform's environment variables that this program does not know, in order.
func UnknownVariables() []string {
	known := []string{variableConfig, variableListen, variableName, VariableControl}
	var unknown []string
	for _, assignment := range os.Environ() {
		name, _, _ := strings.Cut(assignment, "=")
		if strings.HasPrefix(name, variablePrefix) && !slices.Contains(known, name) {
			unknown = append(unknown, name[:min(len(name), maxUnknownLength)])
		}
	}
	slices.Sort(unknown)
	return unknown[:min(len(unknown), maxUnknown)]
}
