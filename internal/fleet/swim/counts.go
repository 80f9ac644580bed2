package swim

// Counts are a Node's totals since its start.
type Counts struct {
	Probes      uint64 // probes started
	Failed      uint64 // probes that nobody acknowledged
	Indirect    uint64 // members that were requested to probe for this node
	Suspicions  uint64 // suspicions, of this node or learnt from others
	Deaths      uint64 // suspicions that this node let end in death
	Refutations uint64 // claims about this node itself that it refuted
	Stalls      uint64 // stalls of this process
}
