package config_test

// These are characterisation tests: they record what the program does today with every file that an operator or the
// platform writes for it, so that a change of names and structure can be shown to change nothing. Inputs (*.toml,
// *.json) and recorded results (*.txt) are in testdata/characterization. On a purposeful change the results are written
// anew by
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/config -run TestCharacterization
//
// and the commit has to say why they differ. Without that variable a missing or different file fails the test.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"

	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/remedy"
	"eidertrail/internal/rollout/runner"
)

// fileKind is one kind of file that the program reads.
type fileKind struct {
	name   string // of its test data
	suffix string // of its inputs
	open   func(t *testing.T, text string) document
	// read is the program's reading of a text: the resulting settings in this test's encoding, or the error.
	read func(t *testing.T, text string) (*encoding, error)
	// schema is a pointer to what the TOML reader fills; nil for the platform's JSON, which has none.
	schema any
	// unset are the encoded settings that no key of the file changes.
	unset []string
	edges []edge
}

// edge is a key with a value at or past one of its bounds.
type edge struct {
	key, value string
}

// fileKinds lists every kind of file.
func fileKinds() []fileKind {
	return []fileKind{
		{
			name:   "platform",
			suffix: ".json",
			open:   openJSON,
			read:   readPlatform,
			edges:  platformEdges(),
			unset:  []string{"settings.must_ask", "settings.ask_within"},
		},
		{
			name:   "callcontrol",
			suffix: ".toml",
			open:   openTOML,
			read:   readCallControl,
			schema: &config.CallControl{},
			edges:  callControlEdges(),
		},
		{
			name:   "cluster",
			suffix: ".toml",
			open:   openTOML,
			read:   readCluster,
			schema: &config.Cluster{},
			edges:  clusterEdges(),
			unset:  []string{"node.self", "node.members"},
		},
		{
			name:   "discovery",
			suffix: ".toml",
			open:   openTOML,
			read:   readDiscovery,
			schema: &config.Discovery{},
			edges:  discoveryEdges(),
			unset:  []string{"membership.most_pools"},
		},
		{
			name:   "routing",
			suffix: ".toml",
			open:   openTOML,
			read:   readRouting,
			schema: &config.Routing{},
			edges:  routingEdges(),
		},
		{
			name:   "rollout",
			suffix: ".toml",
			open:   openTOML,
			read:   readRollout,
			schema: &runner.File{},
			edges:  rolloutEdges(),
		},
	}
}

// A full file sets every key to another value than its default, and the whole result is as recorded.
func TestCharacterization_FullFileAndDefaults(t *testing.T) {
	for _, kind := range fileKinds() {
		t.Run(kind.name, func(t *testing.T) {
			full, defaults := kind.mustRead(t, ""), kind.mustRead(t, "-defaults")
			compareLines(t, kind.name+"-full.txt", full.lines)
			compareLines(t, kind.name+"-defaults.txt", defaults.lines)
			for _, line := range full.lines {
				field, _, _ := strings.Cut(line, " = ")
				if slices.Contains(defaults.lines, line) && !slices.Contains(kind.unset, field) {
					t.Errorf("the full file leaves %s at its default", line)
				}
			}
		})
	}
}

// An empty [budget] switches budgets on with their defaults.
func TestCharacterization_BudgetDefaults(t *testing.T) {
	e, err := readCluster(t, "[budget]\n")
	if err != nil {
		t.Fatal(err)
	}
	compareLines(t, "cluster-budget-defaults.txt", e.lines)
}

// Every key that the program accepts is listed, and each key alone misspelt, in capitals or left out gives the recorded
// error or the recorded difference.
func TestCharacterization_Keys(t *testing.T) {
	for _, kind := range fileKinds() {
		t.Run(kind.name, func(t *testing.T) {
			text := kind.input(t, "")
			keys := kind.open(t, text).keys()
			kind.checkAgainstSchema(t, keys)
			compareLines(t, kind.name+"-keys.txt", keys)

			full := kind.mustRead(t, "")
			misspelt := make([]string, 0, len(keys))
			capitals := make([]string, 0, len(keys))
			absent := make([]string, 0, len(keys))
			for _, key := range keys {
				last := lastName(key)
				edited := func() document { return kind.open(t, text) }
				misspelt = append(misspelt, key+": "+kind.outcome(t, full, edited().renamed(key, last+"x")))
				capitals = append(capitals, key+": "+kind.outcome(t, full, inCapitals(edited(), key)))
				absent = append(absent, key+": "+kind.outcome(t, full, edited().without(key)))
			}
			compareLines(t, kind.name+"-keys-misspelt.txt", misspelt)
			compareLines(t, kind.name+"-keys-in-capitals.txt", capitals)
			compareLines(t, kind.name+"-keys-absent.txt", absent)
		})
	}
}

// inCapitals is the document with the key in capitals; of a list of tables, all of its headers.
//
// With only some headers in capitals the TOML library sees two lists and either may win, so that nothing can be
// recorded.
func inCapitals(d document, key string) document {
	list, _, _ := strings.Cut(key, "[")
	for _, other := range d.keys() {
		sameList := strings.HasSuffix(key, "]") && strings.HasPrefix(other, list+"[") && strings.HasSuffix(other, "]")
		if other == key || sameList {
			d.renamed(other, strings.ToUpper(lastName(other)))
		}
	}
	return d
}

// A value of another type gives the recorded error for every key.
func TestCharacterization_Types(t *testing.T) {
	for _, kind := range fileKinds() {
		t.Run(kind.name, func(t *testing.T) {
			text, full := kind.input(t, ""), kind.mustRead(t, "")
			values := []string{`"x"`, "7", "-1", "1.5", "true", "[]", `["x"]`}
			if kind.suffix == ".json" {
				values = append(values, "null", "{}")
			}
			keys := kind.open(t, text).keys()
			lines := make([]string, 0, len(keys)*len(values))
			for _, key := range keys {
				for _, value := range values {
					outcome := kind.outcome(t, full, kind.open(t, text).with(key, value))
					lines = append(lines, key+" = "+value+": "+outcome)
				}
			}
			compareLines(t, kind.name+"-types.txt", lines)
		})
	}
}

// A value at each bound of a key is accepted, and one past it gives the recorded error and remedy.
func TestCharacterization_Bounds(t *testing.T) {
	for _, kind := range fileKinds() {
		t.Run(kind.name, func(t *testing.T) {
			text, full := kind.input(t, ""), kind.mustRead(t, "")
			lines := make([]string, 0, len(kind.edges))
			for _, e := range kind.edges {
				outcome := kind.outcome(t, full, kind.open(t, text).with(e.key, e.value))
				lines = append(lines, e.key+" = "+shortened(e.value)+": "+outcome)
			}
			compareLines(t, kind.name+"-bounds.txt", lines)
		})
	}
}

// Texts that are no file of the kind at all, and files that are not there.
func TestCharacterization_BrokenFiles(t *testing.T) {
	for _, kind := range fileKinds() {
		t.Run(kind.name, func(t *testing.T) {
			full := kind.mustRead(t, "")
			texts := []string{"", "{", "[]", "{}", "x", "= 1", "\x00", "a = \xff", kind.input(t, "") + "\n[["}
			lines := make([]string, 0, len(texts))
			for _, text := range texts {
				label := shortened(strconv.QuoteToASCII(text))
				lines = append(lines, label+": "+kind.outcomeOfText(t, full, text))
			}
			compareLines(t, kind.name+"-broken.txt", lines)
		})
	}
	const absent = "no-such-file"
	var lines []string
	note := func(kind string, err error) { lines = append(lines, kind+": "+errorText(t, err)) }
	_, err := config.Load(absent, clock.New())
	note("platform", err)
	_, err = config.LoadCallControl(absent)
	note("callcontrol", err)
	_, err = config.LoadCluster(absent)
	note("cluster", err)
	_, err = config.LoadDiscovery(absent)
	note("discovery", err)
	_, err = config.LoadRouting(absent)
	note("routing", err)
	_, err = runner.Load(absent)
	note("rollout", err)
	compareLines(t, "absent-files.txt", lines)
}

// A cluster file is checked against the platform's configuration.
func TestCharacterization_ClusterAgainstPlatform(t *testing.T) {
	text := fileKind{name: "cluster", suffix: ".toml"}.input(t, "")
	changes := []struct {
		name  string
		apply func(*config.Config)
	}{
		{"as it is", func(*config.Config) {}},
		{"no peer_listen", func(c *config.Config) { c.PeerListen = "" }},
		{"no peers", func(c *config.Config) { c.Peers = nil }},
		{"index past the peers", func(c *config.Config) { c.Settings.Index = 3 }},
		{"index below 0", func(c *config.Config) { c.Settings.Index = -1 }},
		{"another controller's region", func(c *config.Config) { c.Settings.Index = 0 }},
		{"more peers than regions", func(c *config.Config) { c.Peers = append(c.Peers, "127.0.0.9:7946") }},
		{"513 peers", func(c *config.Config) { c.Peers = make([]string, 513) }},
		{"no report names", func(c *config.Config) { c.ReportNames = nil }},
		{"other report names", func(c *config.Config) { c.ReportNames = []string{"idle", "circuits"} }},
	}
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		file, err := config.ParseCluster(text)
		if err != nil {
			t.Fatal(err)
		}
		platform := clusterPlatform()
		change.apply(platform)
		_, err = file.Node(platform)
		lines = append(lines, change.name+": "+errorText(t, err))
	}
	compareLines(t, "cluster-against-platform.txt", lines)
}

// A rollout has to change something: the program, or the settings of every controller.
func TestCharacterization_RolloutOfTheSameProgram(t *testing.T) {
	kind := fileKind{name: "rollout", suffix: ".toml", read: readRollout}
	text, full := kind.input(t, ""), kind.mustRead(t, "")
	sameProgram := func() document { return openTOML(t, text).with("new.binary", `"bin/daemon"`) }
	compareLines(t, "rollout-same-program.txt", []string{
		"new settings for all: " + kind.outcome(t, full, sameProgram()),
		"new settings for two of three: " + kind.outcome(t, full, sameProgram().without("controller[2].new_config")),
	})
}

// Kinds of file: inputs, outcomes, schema.

func (k fileKind) input(t *testing.T, variant string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dataDirectory, k.name+variant+k.suffix))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func (k fileKind) mustRead(t *testing.T, variant string) *encoding {
	t.Helper()
	e, err := k.read(t, k.input(t, variant))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// outcome is what the program makes of an edited file: the error, or in what the settings differ from the full file's.
func (k fileKind) outcome(t *testing.T, full *encoding, edited document) string {
	t.Helper()
	return k.outcomeOfText(t, full, edited.text())
}

func (k fileKind) outcomeOfText(t *testing.T, full *encoding, text string) string {
	t.Helper()
	e, err := k.read(t, text)
	if err != nil {
		return errorText(t, err)
	}
	differences := e.differences(full)
	switch {
	case len(differences) == 0:
		return "accepted, no change"
	case len(differences) > 8:
		sum := sha256.Sum256([]byte(strings.Join(differences, "\n")))
		return fmt.Sprintf("accepted, %d settings differ, digest %s", len(differences), hex.EncodeToString(sum[:]))
	}
	return "accepted: " + strings.Join(differences, "; ")
}

// goType is the Go type that the TOML library names in some of its errors; it is no part of what is recorded.
var goType = regexp.MustCompile(`type mismatch for [^:]*:`)

// errorText is the recorded form of an error: its one line, and its remedy if it tells one.
func errorText(t *testing.T, err error) string {
	t.Helper()
	if err == nil {
		return "accepted"
	}
	text := goType.ReplaceAllString(err.Error(), "type mismatch for GO-TYPE:")
	if strings.ContainsAny(text, "\n\r") {
		t.Errorf("an error of several lines: %q", text)
	}
	advice := remedy.Of(err)
	if advice == "" {
		advice = "none"
	}
	return "error: " + text + " | remedy: " + advice
}

// checkAgainstSchema fails the test for a key that the program accepts and the full file does not set.
func (k fileKind) checkAgainstSchema(t *testing.T, keys []string) {
	t.Helper()
	if k.schema == nil {
		return
	}
	for _, want := range tomlKeys(reflect.TypeOf(k.schema), "") {
		pattern := regexp.MustCompile("^" + want + "$")
		if !slices.ContainsFunc(keys, pattern.MatchString) {
			t.Errorf("the full file does not set the key %s", want)
		}
	}
}

// tomlKeys is the key and every key below it by the toml tags of a type, each as a pattern of a document's keys.
func tomlKeys(of reflect.Type, key string) []string {
	switch of.Kind() {
	case reflect.Pointer:
		return tomlKeys(of.Elem(), key)
	case reflect.Map:
		return append(tomlKeys(of.Elem(), key+`\.[^.]+`), key)
	case reflect.Slice:
		if of.Elem().Kind() == reflect.Struct {
			return tomlKeys(of.Elem(), key+`\[\d+\]`)
		}
		return []string{key}
	case reflect.Struct:
		return tomlKeysOfStruct(of, key)
	default:
		return []string{key}
	}
}

func tomlKeysOfStruct(of reflect.Type, key string) []string {
	var keys []string
	prefix := ""
	if key != "" {
		keys, prefix = []string{key}, key+`\.`
	}
	for i := range of.NumField() {
		field := of.Field(i)
		if tag, tagged := field.Tag.Lookup("toml"); tagged {
			keys = append(keys, tomlKeys(field.Type, prefix+tag)...)
		}
	}
	return keys
}

// shortened is a value as a label of a recorded line.
func shortened(value string) string {
	if len(value) <= 48 {
		return value
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(value[:32], ""), len(value))
}

// Recorded files.

const dataDirectory = "testdata/characterization"

// compareLines compares lines with the recorded file of that name.
func compareLines(t *testing.T, name string, lines []string) {
	t.Helper()
	recorded.Compare(t, name, strings.Join(lines, "\n")+"\n")
}
