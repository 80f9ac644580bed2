package config

import (
	"strings"
	"testing"
)

const goodRouting = `zone = "batumi"
zones = ["batumi", "tbilisi", "kutaisi", "telavi"]
[tiers]
batumi = [["tbilisi", "kutaisi"], ["telavi"]]
`

func TestParseRouting_Defaults(t *testing.T) {
	r, err := ParseRouting(goodRouting)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Router(3, []string{"stop-sell"}); err != nil || r.SpillBudget != 0.3 || len(r.Tiers["batumi"]) != 2 {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestParseRouting_ErrorNamesTheField(t *testing.T) {
	for field, text := range map[string]string{
		"class.fax:":                       goodRouting + "[class.fax.tiers]\nbatumi = [[\"tbilisi\"]]\n",
		"zone:":                            strings.Replace(goodRouting, `zone = "batumi"`, `zone = "poti"`, 1),
		"tiers.batumi[1]:":                 strings.Replace(goodRouting, `["telavi"]`, `["gori"]`, 1),
		"tiers.batumi[0]:":                 strings.Replace(goodRouting, `"kutaisi"]`, `"batumi"]`, 1),
		"tiers.gori:":                      goodRouting + `gori = [["batumi"]]` + "\n",
		"spill_share:":                     "spill_share = 1.2\n" + goodRouting,
		"zones:":                           `zone = "batumi"` + "\n",
		"colour:":                          "colour = 1\n" + goodRouting,
		"class.stop-sell.tiers.batumi[1]:": goodRouting + "[class.stop-sell.tiers]\nbatumi = [[\"tbilisi\"], [\"gori\"]]\n",
	} {
		r, err := ParseRouting(text)
		if err == nil {
			_, err = r.Router(1, []string{"voice"})
		}
		if err == nil || !strings.HasPrefix(err.Error(), "routing: "+field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
