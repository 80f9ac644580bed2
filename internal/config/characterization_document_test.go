package config_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// document is the text of a file of which single keys can be changed. Each change is made to it in place.
type document interface {
	text() string
	// keys are those of the text, in order; lists of tables have an index.
	keys() []string
	with(key, value string) document
	renamed(key, name string) document
	without(key string) document
}

// lastName is a key's own name, without those of the tables that it is in and without an index.
func lastName(key string) string {
	name, _, _ := strings.Cut(key[strings.LastIndex(key, ".")+1:], "[")
	return name
}

// tomlLine is a line "key = value" or the header of a table.
type tomlLine struct {
	text   string
	key    string // with the names of its tables
	header bool
}

// tomlDocument is a TOML text of such lines alone.
type tomlDocument struct {
	lines []tomlLine
}

func openTOML(t *testing.T, text string) document {
	t.Helper()
	document := &tomlDocument{}
	table, seen := "", map[string]int{}
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		name, _, assignment := strings.Cut(line, " = ")
		switch {
		case strings.HasPrefix(line, "[["):
			list := strings.Trim(line, "[]")
			table = fmt.Sprintf("%s[%d]", list, seen[list])
			seen[list]++
			document.lines = append(document.lines, tomlLine{line, table, true})
		case strings.HasPrefix(line, "["):
			table = strings.Trim(line, "[]")
			document.lines = append(document.lines, tomlLine{line, table, true})
		case assignment && table == "":
			document.lines = append(document.lines, tomlLine{line, name, false})
		case assignment:
			document.lines = append(document.lines, tomlLine{line, table + "." + name, false})
		default:
			t.Fatalf("a line that this test cannot read: %q", line)
		}
	}
	return document
}

func (d *tomlDocument) text() string {
	var b strings.Builder
	for _, line := range d.lines {
		b.WriteString(line.text + "\n")
	}
	return b.String()
}

func (d *tomlDocument) keys() []string {
	var keys []string
	for _, line := range d.lines {
		for i, r := range line.key {
			outer := line.key[:i]
			if line.header && r == '.' && !slices.Contains(keys, outer) {
				keys = append(keys, outer)
			}
		}
		keys = append(keys, line.key)
	}
	return keys
}

func (d *tomlDocument) with(key, value string) document {
	for i, line := range d.lines {
		if line.key == key && !line.header {
			d.lines[i].text = lastName(key) + " = " + value
			return d
		}
	}
	table, _, _ := strings.Cut(key, "[")
	d.without(table)
	d.lines = slices.Insert(d.lines, 0, tomlLine{text: table + " = " + value, key: table})
	return d
}

func (d *tomlDocument) renamed(key, name string) document {
	for i, line := range d.lines {
		switch {
		case line.key == key && !line.header:
			_, value, _ := strings.Cut(line.text, " = ")
			d.lines[i].text = name + " = " + value
			return d
		case line.header && (line.key == key || strings.HasPrefix(line.key, key+".")):
			segments := strings.Split(strings.Trim(line.text, "[]"), ".")
			segments[strings.Count(key, ".")] = name
			brackets := strings.Count(line.text, "[")
			d.lines[i].text = strings.Repeat("[", brackets) + strings.Join(segments, ".") + strings.Repeat("]", brackets)
			return d
		}
	}
	return d
}

// without takes the key out, and with a table all that is in it.
func (d *tomlDocument) without(key string) document {
	d.lines = slices.DeleteFunc(d.lines, func(line tomlLine) bool {
		return line.key == key || strings.HasPrefix(line.key, key+".") || strings.HasPrefix(line.key, key+"[")
	})
	return d
}

// jsonDocument is a JSON object. Its lists' elements have keys that end with their number.
type jsonDocument struct {
	t    *testing.T
	root any
}

func openJSON(t *testing.T, text string) document {
	t.Helper()
	d := &jsonDocument{t: t}
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&d.root); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *jsonDocument) text() string {
	text, err := json.Marshal(d.root)
	if err != nil {
		d.t.Fatal(err)
	}
	return string(text)
}

func (d *jsonDocument) keys() []string { return jsonKeys(d.root, "") }

// jsonKeys are the members' keys below a value, sorted within each object.
func jsonKeys(value any, prefix string) []string {
	var keys []string
	switch value := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(value)) {
			keys = append(keys, prefix+name)
			keys = append(keys, jsonKeys(value[name], prefix+name+".")...)
		}
	case []any:
		for i, element := range value {
			keys = append(keys, jsonKeys(element, fmt.Sprintf("%s%d.", prefix, i))...)
		}
	}
	return keys
}

func (d *jsonDocument) with(key, value string) document {
	holder, name := d.holder(key)
	switch holder := holder.(type) {
	case map[string]any:
		holder[name] = json.RawMessage(value)
	case []any:
		holder[d.index(name)] = json.RawMessage(value)
	}
	return d
}

func (d *jsonDocument) renamed(key, name string) document {
	holder, old := d.holder(key)
	object := holder.(map[string]any)
	value := object[old]
	delete(object, old)
	object[name] = value
	return d
}

func (d *jsonDocument) without(key string) document {
	holder, name := d.holder(key)
	delete(holder.(map[string]any), name)
	return d
}

// holder is the object or list that holds the key, and its name or number there.
func (d *jsonDocument) holder(key string) (any, string) {
	d.t.Helper()
	names := strings.Split(key, ".")
	at := d.root
	for _, name := range names[:len(names)-1] {
		switch holder := at.(type) {
		case map[string]any:
			at = holder[name]
		case []any:
			at = holder[d.index(name)]
		}
	}
	return at, names[len(names)-1]
}

func (d *jsonDocument) index(name string) int {
	d.t.Helper()
	i, err := strconv.Atoi(name)
	if err != nil {
		d.t.Fatal(err)
	}
	return i
}
