package dispatch

import "eidertrail/internal/recentset"

const (
	maxRecentlyEnded = 2048
	maxEarlyCancels  = 256
	// maxForeignIDs: the calls that another process may know when it is asked, and those that come after that.
	maxForeignIDs = 12288
)

// callRegistry holds the calls of a call table by the callers' ids. The table's mutex guards it.
type callRegistry struct {
	uniqueIDs bool // an id names one call for good, also once that has ended
	byID      map[string]*tableCall
	unsettled int // calls without a final answer
	// recentlyEnded: what still comes for such a call does not concern one of another controller.
	recentlyEnded *recentset.Set
	// earlyCancels, with uniqueIDs, are ids that were cancelled or released and are not known: the cancel may have
	// overtaken its set-up.
	earlyCancels *recentset.Set
	// foreign are ids of calls that another process of the controller has set up.
	foreign *recentset.Set
}

func newCallRegistry(uniqueIDs bool) *callRegistry {
	return &callRegistry{
		uniqueIDs:     uniqueIDs,
		byID:          map[string]*tableCall{},
		recentlyEnded: recentset.New(maxRecentlyEnded),
		earlyCancels:  recentset.New(maxEarlyCancels),
		foreign:       recentset.New(maxForeignIDs),
	}
}

// find returns the call, nil if there is none.
func (r *callRegistry) find(id string) *tableCall { return r.byID[id] }

// count is the number of calls.
func (r *callRegistry) count() int { return len(r.byID) }

// established is the number of calls that have had their final answer.
func (r *callRegistry) established() int { return len(r.byID) - r.unsettled }

// add adds a call that is owed a final answer.
func (r *callRegistry) add(call *tableCall) {
	r.byID[call.id] = call
	r.unsettled++
}

// settle notes that a call is owed no final answer any more.
func (r *callRegistry) settle() { r.unsettled-- }

// remove removes a call that has ended.
func (r *callRegistry) remove(id string) {
	delete(r.byID, id)
	r.markEnded(id)
}

// markEnded remembers an id whose call has ended.
func (r *callRegistry) markEnded(id string) { r.recentlyEnded.Add(id) }

// endedRecently reports whether a call of this id has ended recently.
func (r *callRegistry) endedRecently(id string) bool { return r.recentlyEnded.Contains(id) }

// isTaken reports whether an id may not name a new call.
func (r *callRegistry) isTaken(id string) bool {
	return r.byID[id] != nil || r.uniqueIDs && (r.endedRecently(id) || r.foreign.Contains(id))
}

// addForeign remembers ids of calls that another process has set up.
func (r *callRegistry) addForeign(ids []string) {
	for _, id := range ids {
		r.foreign.Add(id)
	}
}

// known returns every id that is taken, those that another process has to remember longest at the end.
func (r *callRegistry) known() []string {
	ids := r.foreign.Members()
	ids = append(ids, r.recentlyEnded.Members()...)
	for id := range r.byID {
		ids = append(ids, id)
	}
	return ids
}

// isKnown reports whether there is a call of this id, or was one recently.
func (r *callRegistry) isKnown(id string) bool { return r.byID[id] != nil || r.endedRecently(id) }

// cancelEarly remembers the cancel of a call that is not known.
func (r *callRegistry) cancelEarly(id string) {
	if r.uniqueIDs && IsToken(id) {
		r.earlyCancels.Add(id)
	}
}

// cancelledEarly reports whether the cancel of a call came before its set-up.
func (r *callRegistry) cancelledEarly(id string) bool { return r.earlyCancels.Contains(id) }
