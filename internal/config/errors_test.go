package config

import (
	"errors"
	"io/fs"
	"strings"
	"testing"

	"eidertrail"
	"eidertrail/internal/clock"
)

func TestFieldError_NamesFileFieldAndReason(t *testing.T) {
	parsePlatform := func(text string) error { _, err := Parse([]byte(text), clock.New()); return err }
	parseCallControl := func(text string) error { _, err := parseCallControl(text); return err }
	parseDiscovery := func(text string) error { _, err := ParseDiscovery(text); return err }
	parseRouting := func(text string) error { _, err := ParseRouting(text); return err }
	parseCluster := func(text string) error {
		file, err := ParseCluster(text)
		if err == nil {
			_, err = file.Node(&Config{
				PeerListen: "127.0.0.1:7946",
				Peers:      []string{"127.0.0.1:7946", "127.0.0.2:7946"},
				Settings:   eidertrail.Settings{Index: 1},
			})
		}
		return err
	}
	for name, test := range map[string]struct {
		parse func(text string) error
		text  string
		want  FieldError
	}{
		"no JSON": {parsePlatform, "{", FieldError{File: PlatformFile, Reason: "not valid JSON"}},
		"a field of the platform's file": {
			parsePlatform, strings.Replace(good, `"cold_share":0.3`, `"cold_share":3`, 1),
			FieldError{File: PlatformFile, Field: "settings.rules.cold_share", Reason: "3 is not a number from 0 to 1"},
		},
		"a field of call control": {
			parseCallControl, "listen = \"x\"",
			FieldError{File: CallControlFile, Field: "listen", Reason: `"x" is not address:port`},
		},
		"an unknown field": {
			parseCallControl, "listne = 1",
			FieldError{File: CallControlFile, Field: "listne", Reason: "not a known field"},
		},
		"a field of the cluster": {
			parseCluster, "[budget]\nkeep = 2.0",
			FieldError{File: ClusterFile, Field: "budget.keep", Reason: "want 0 to 1"},
		},
		"a region of the cluster": {
			parseCluster, "regions = [\"batumi\"]",
			FieldError{File: ClusterFile, Field: "regions", Reason: "1 for 2 members"},
		},
		"a name of discovery": {
			parseDiscovery, goodDiscovery + "[[name]]\nsrv = \"x\"",
			FieldError{File: DiscoveryFile, Field: "name[1].srv", Reason: "want _service._proto.name"},
		},
		"a zone that package routing rejects": {
			parseRouting, strings.Replace(goodRouting, `zone = "batumi"`, `zone = "poti"`, 1),
			FieldError{File: RoutingFile, Field: "zone", Reason: `"poti" is not a known zone`},
		},
		"a class's tier that package routing rejects": {
			parseRouting, goodRouting + "[class.voice.tiers]\nbatumi = [[\"gori\"]]\n",
			FieldError{File: RoutingFile, Field: "class.voice.tiers.batumi[0]", Reason: `"gori" is not a known zone`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			err := test.parse(test.text)

			var got *FieldError
			if !errors.As(err, &got) || *got != test.want {
				t.Errorf("%+v (%v), want %+v", got, err, test.want)
			}
		})
	}
}

func TestFieldError_KeepsTheErrorOfTheSystem(t *testing.T) {
	loaders := map[FileKind]func(path string) error{
		PlatformFile:    func(path string) error { _, err := Load(path, clock.New()); return err },
		CallControlFile: func(path string) error { _, err := LoadCallControl(path); return err },
		ClusterFile:     func(path string) error { _, err := LoadCluster(path); return err },
		DiscoveryFile:   func(path string) error { _, err := LoadDiscovery(path); return err },
		RoutingFile:     func(path string) error { _, err := LoadRouting(path); return err },
	}
	for file, load := range loaders {
		err := load("no-such-file")

		var got *FieldError
		if !errors.Is(err, fs.ErrNotExist) || !errors.As(err, &got) || got.File != file {
			t.Errorf("%s: %v", file, err)
		}
	}
}
