package trial

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxEntries bounds a timeline; the oldest entries of calls go first.
const maxEntries = 20_000

// entry is one event of a timeline.
type entry struct {
	at    time.Duration
	party string
	text  string
}

// timeline keeps what the parties did and saw.
type timeline struct {
	started time.Time

	mu      sync.Mutex
	entries []entry
}

func newTimeline(started time.Time) *timeline { return &timeline{started: started} }

// add adds an event of a party.
func (t *timeline) add(party, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= maxEntries {
		t.entries = t.entries[1:]
	}
	t.entries = append(t.entries, entry{at: time.Since(t.started), party: party, text: text})
}

// about returns the events whose text or party names one of the words, and those of the parties given. Every event
// names the empty word.
func (t *timeline) about(words []string, parties ...string) []entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []entry
	for _, e := range t.entries {
		named := slices.ContainsFunc(words, func(word string) bool {
			return e.party == word || strings.Contains(e.text, word)
		})
		if named || slices.Contains(parties, e.party) {
			found = append(found, e)
		}
	}
	return found
}

const (
	timeWidth   = 9
	columnWidth = 34
	columnGap   = 2
)

// render is a timeline as text, a column a party.
func render(entries []entry) string {
	var parties []string
	for _, e := range entries {
		if !slices.Contains(parties, e.party) {
			parties = append(parties, e.party)
		}
	}
	slices.Sort(parties)
	var text strings.Builder
	fmt.Fprintf(&text, "%*s", timeWidth, "s")
	for _, party := range parties {
		fmt.Fprintf(&text, "  %-*s", columnWidth, party)
	}
	text.WriteByte('\n')
	for _, e := range entries {
		fmt.Fprintf(&text, "%*.3f", timeWidth, e.at.Seconds())
		column := slices.Index(parties, e.party)
		fmt.Fprintf(&text, "%*s  %s\n", column*(columnWidth+columnGap), "", e.text)
	}
	return text.String()
}
