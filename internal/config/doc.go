// Package config reads the files that a session controller is configured by: the platform's JSON (platform.go) and the
// operators' TOML files for call control, the cluster, discovery and routing, each in a file of its own.
//
// A file is checked as a whole when it is read, so that the packages below can rely on its values. Every error is one
// line; a FieldError names the file and the field. A field that the program does not know is an error in TOML, where
// it is most likely a misspelling, and is ignored in the platform's JSON, which other programs read as well.
package config
