// Package past remembers a bounded number of names, the latest.
package past

// Names are the latest names that were added. The zero value is empty; it is not safe for concurrent use.
type Names struct {
	most  int
	known map[string]struct{}
	order []string // a ring once it is full
	next  int
}

// New returns a memory of the latest names, that many at most.
func New(most int) *Names { return &Names{most: most, known: map[string]struct{}{}} }

// Add remembers a name; one that is known keeps its place.
func (n *Names) Add(name string) {
	if n.Has(name) {
		return
	}
	n.known[name] = struct{}{}
	if len(n.order) < n.most {
		n.order = append(n.order, name)
		return
	}
	delete(n.known, n.order[n.next])
	n.order[n.next] = name
	n.next = (n.next + 1) % n.most
}

// Has tells whether the name is remembered.
func (n *Names) Has(name string) bool {
	_, known := n.known[name]
	return known
}
