package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Event is what a node reports or what happens to it. Node -1 stands for all.
type Event struct {
	At   int64 // µs
	Node int
	Text string
}

// concernsAll reports whether the event is one of the whole fleet, which goes across all columns.
func (e Event) concernsAll() bool { return e.Node < 0 }

// Render draws events in the order of their time. Those within the same step of µs are in one row, unless a column has
// two of them: a row never moves an event before an earlier one of its node or of the whole fleet.
func Render(nodes []string, step int64, events []Event) string {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At/step, b.At/step) })
	drawing := &picture{widths: columnWidths(nodes, events), step: step, lastStep: -1}
	drawing.row("", nodes)
	for len(events) > 0 {
		first := events[0]
		if first.concernsAll() {
			drawing.banner(first)
			events = events[1:]
			continue
		}
		cells, rest := drawing.takeRow(events)
		drawing.row(drawing.time(first), cells)
		events = rest
	}
	return drawing.text.String()
}

// columnWidths are the widths in characters of the widest text of each node.
func columnWidths(nodes []string, events []Event) []int {
	widths := make([]int, len(nodes))
	for i, name := range nodes {
		widths[i] = utf8.RuneCountInString(name)
	}
	for _, e := range events {
		if !e.concernsAll() {
			widths[e.Node] = max(widths[e.Node], utf8.RuneCountInString(e.Text))
		}
	}
	return widths
}

// picture is the text drawn so far.
type picture struct {
	text     strings.Builder
	widths   []int
	step     int64
	lastStep int64 // whose time was written last
}

// takeRow returns the cells of the next row, and the events that are left.
func (p *picture) takeRow(events []Event) (cells []string, rest []Event) {
	cells = make([]string, len(p.widths))
	at := events[0].At / p.step
	for _, e := range events {
		blocked := slices.ContainsFunc(rest, func(earlier Event) bool {
			return earlier.Node == e.Node || earlier.concernsAll()
		})
		if !e.concernsAll() && e.At/p.step == at && cells[e.Node] == "" && !blocked {
			cells[e.Node] = e.Text
		} else {
			rest = append(rest, e)
		}
	}
	return cells, rest
}

// row writes a row.
func (p *picture) row(time string, cells []string) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8s", time)
	for i, cell := range cells {
		fmt.Fprintf(&line, "  %-*s", p.widths[i], cell)
	}
	p.text.WriteString(strings.TrimRight(line.String(), " ") + "\n")
}

// banner writes an event of the whole fleet.
func (p *picture) banner(e Event) { fmt.Fprintf(&p.text, "%8s  ---- %s ----\n", p.time(e), e.Text) }

// time is the time of an event, "" if the row before has the same.
func (p *picture) time(e Event) string {
	step := e.At / p.step
	if step == p.lastStep {
		return ""
	}
	p.lastStep = step
	return fmt.Sprintf("%.1f s", float64(step*p.step)/1e6)
}
