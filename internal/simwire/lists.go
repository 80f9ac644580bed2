package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"eidertrail"
)

// storeList stores the list of servers of a Census by its number. Entries in a mode that is not known are left out.
func (h *Host) storeList(census *row) error {
	number := int(census.integer(0, "buffer"))
	var entries []json.RawMessage
	census.decode(1, "lines", &entries)
	servers := make([]eidertrail.Server, 0, len(entries))
	for _, entry := range entries {
		server, known, err := decodeServer(entry)
		if err != nil {
			return err
		}
		if known {
			servers = append(servers, server)
		}
	}
	h.lists[number] = servers
	return census.err
}

// decodeServer decodes an entry of a Census, and reports whether its mode is known.
//
//nolint:mnd // the positions of the entry's values
func decodeServer(raw json.RawMessage) (server eidertrail.Server, known bool, err error) {
	var values []json.RawMessage
	if err := json.Unmarshal(raw, &values); err != nil {
		return server, false, fmt.Errorf("%s: an entry is not an array: %w", censusMessage, err)
	}
	entry := &row{name: "Census entry", values: values}
	server = eidertrail.Server{
		ID:        eidertrail.ServerID(entry.text(0, "server")),
		StartedAt: time.Duration(entry.integer(1, "born")),
		Pool:      int(entry.integer(4, "place_no")),
	}
	server.Mode, known = modeOf(entry.text(3, "mode"))
	return server, known, entry.err
}

// modeOf returns the mode that the wire calls by a name.
func modeOf(name string) (mode eidertrail.Mode, known bool) {
	switch name {
	case "ready":
		return eidertrail.Ready, true
	case "draining":
		return eidertrail.Draining, true
	case "gone":
		return eidertrail.Removed, true
	}
	return mode, false
}

// listKindOf returns the kind of list that the wire calls by a name.
func listKindOf(name string) (kind eidertrail.ListKind, known bool) {
	switch name {
	case "delta":
		return eidertrail.Delta, true
	case "full":
		return eidertrail.Snapshot, true
	case "cached":
		return eidertrail.Cached, true
	case "failed":
		return eidertrail.Failed, true
	}
	return kind, false
}
