package endpointlist

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"

	"github.com/tidwall/gjson"

	"eidertrail/internal/clock"
)

// Errors of a page that cannot be used at all.
var (
	errNotJSON = errors.New("bulletin: not valid JSON")
	errVersion = errors.New("bulletin: no: want a number")
)

// ParsePage reads an answer of the list's server. Items of other kinds are passed over, as are endpoints of an unknown
// state. With ErrInvalidEndpoint the page may be used all the same: a drain whose address is invalid is in it, without
// an address.
func ParsePage(text []byte, now *clock.Clock) (Page, error) {
	var page Page
	if !gjson.ValidBytes(text) {
		return page, errNotJSON
	}
	root := gjson.ParseBytes(text)
	version := root.Get("no")
	if version.Type != gjson.Number {
		return page, errVersion
	}
	page.Version = version.Int()
	var invalid error
	for i, item := range root.Get("items").Array() {
		roster := item.Get("roster")
		if !roster.Exists() {
			continue
		}
		event := Event{Version: item.Get("no").Int(), Snapshot: roster.Get("all").Bool()}
		for j, target := range roster.Get("targets").Array() {
			endpoint, use, err := parseEndpoint(target, now)
			if err != nil {
				invalid = fmt.Errorf("%w: items[%d].roster.targets[%d].%w", ErrInvalidEndpoint, i, j, err)
			}
			if use {
				event.Endpoints = append(event.Endpoints, endpoint)
			}
		}
		page.Events = append(page.Events, event)
	}
	// Without this order, an event that comes after a later one on the page would pass for one that was delivered.
	slices.SortStableFunc(page.Events, func(a, b Event) int {
		return cmp.Compare(page.versionOf(a), page.versionOf(b))
	})
	return page, invalid
}

// parseEndpoint reads an endpoint, and reports whether it is to be used. One of an unknown state is not, without an
// error.
func parseEndpoint(target gjson.Result, now *clock.Clock) (endpoint Endpoint, use bool, err error) {
	state, known := parseState(target.Get("state").Str)
	if !known {
		return Endpoint{}, false, nil
	}
	endpoint = Endpoint{
		UID:       target.Get("uid").Str,
		Address:   target.Get("endpoint").Str,
		Group:     int(target.Get("pod_group").Int()),
		Zone:      target.Get("az").Str,
		StartedAt: now.FromUnixMilli(target.Get("boot_ms").Int()),
		State:     state,
	}
	if endpoint.UID == "" {
		return Endpoint{}, false, errAbsentUID
	}
	if _, _, err := net.SplitHostPort(endpoint.Address); err != nil && state != Removed {
		invalid := &addressError{address: endpoint.Address}
		// A drain needs no address: it holds from when the list gave it, whatever else is wrong with it.
		endpoint.Address = ""
		return endpoint, state == Draining, invalid
	}
	return endpoint, true, nil
}

// parseState reads a state as the list writes it.
func parseState(text string) (state State, known bool) {
	switch text {
	case "up":
		return Up, true
	case "draining":
		return Draining, true
	case "removed":
		return Removed, true
	default:
		return Up, false
	}
}

// errAbsentUID reports an endpoint without a name.
var errAbsentUID = errors.New("uid: absent")

// addressError reports an endpoint whose address is not host:port.
type addressError struct{ address string }

func (e *addressError) Error() string {
	return fmt.Sprintf("endpoint: %.40q is not address:port", e.address)
}
