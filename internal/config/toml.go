package config

import (
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// loadFile reads the operator file at path and parses it.
func loadFile[T any](file FileKind, path string, parse func(text string) (*T, error)) (*T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, WrapError(file, "", err)
	}
	return parse(string(text))
}

// decode reads the text of an operator file over the defaults that are in settings. A field that settings have no
// place for is an error.
func decode(file FileKind, text string, settings any) (toml.MetaData, error) {
	meta, err := toml.Decode(text, settings)
	if err != nil {
		return meta, &FieldError{File: file, Reason: strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return meta, &FieldError{File: file, Field: unknown[0].String(), Reason: "not a known field"}
	}
	return meta, nil
}

// checkedFile is what an operator file is read into: pointers to settings that check themselves.
type checkedFile interface {
	check() error
}

// parseChecked decodes a text over the defaults and checks the result. After an error it returns no settings.
func parseChecked[T checkedFile](file FileKind, text string, defaults T) (T, error) {
	var none T
	if _, err := decode(file, text, defaults); err != nil {
		return none, err
	}
	if err := defaults.check(); err != nil {
		return none, err
	}
	return defaults, nil
}
