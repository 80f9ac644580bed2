package recorded

import "strings"

// ErrorLine is the line of a case that ends with an error or without one: the case's name, what the error says, and its
// remedy for an operator, "" for none.
func ErrorLine(name string, err error, remedy string) string {
	if err == nil {
		return name + " | no error |\n"
	}
	return strings.TrimRight(name+" | "+err.Error()+" | "+remedy, " ") + "\n"
}
