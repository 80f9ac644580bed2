package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// decode reads the text of an operator file over its defaults. An error is one line that begins with the file's kind
// and names the field; a field that into has no place for is one, but for those in sections that check their own.
func decode(kind, text string, into any, own ...string) error {
	meta, err := toml.Decode(text, into)
	if err != nil {
		return fmt.Errorf("%s: %s", kind, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	left := slices.DeleteFunc(meta.Undecoded(), func(k toml.Key) bool { return slices.Contains(own, k[0]) })
	if len(left) > 0 {
		return fmt.Errorf("%s: %s: not a known field", kind, left[0])
	}
	return nil
}
