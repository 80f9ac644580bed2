package config

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// decode reads the text of an operator file over its defaults. An error is one line that begins with the file's kind
// and names the field; a field that into has no place for is one.
func decode(kind, text string, into any) (toml.MetaData, error) {
	meta, err := toml.Decode(text, into)
	if err != nil {
		return meta, fmt.Errorf("%s: %s", kind, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if left := meta.Undecoded(); len(left) > 0 {
		return meta, fmt.Errorf("%s: %s: not a known field", kind, left[0])
	}
	return meta, nil
}
