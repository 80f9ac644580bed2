package trial

import "strings"

// effectLine begins the line of a description that names the effect of a set-up which must not be carried out twice.
const effectLine = "s=effect-"

// describeEffect returns the description of a set-up with that effect.
func describeEffect(effect string) string { return "v=0\r\n" + effectLine + effect + "\r\n" }

// effectOf returns the effect that a description names, "" for none.
func effectOf(description string) string {
	_, named, found := strings.Cut(description, effectLine)
	if !found {
		return ""
	}
	effect, _, _ := strings.Cut(named, "\r\n")
	return effect
}
