package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"runtime/debug"
)

const (
	// revisionDigits and digestBytes are the lengths of a shortened revision and of a shortened digest.
	revisionDigits, digestBytes = 12, 6
	unknownVersion              = "unknown"
)

// Version is that of the build: its revision, and whether the tree had changes; without a revision a digest of the
// program.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	revision, changes := "", ""
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value[:min(revisionDigits, len(setting.Value))]
		case "vcs.modified":
			if setting.Value == "true" {
				changes = "+changes"
			}
		}
	}
	if revision != "" {
		return revision + changes
	}
	return programDigest()
}

func programDigest() string {
	path, err := os.Executable()
	if err != nil {
		return unknownVersion
	}
	program, err := os.ReadFile(path)
	if err != nil {
		return unknownVersion
	}
	return "build-" + shortDigest(program)
}

// shortDigest is the beginning of a text's digest in hexadecimal.
func shortDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}
