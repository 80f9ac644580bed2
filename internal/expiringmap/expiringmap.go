// Package expiringmap holds keyed values that expire in the order of their insertion.
//
// An entry is removed by Expire once its time and that of every entry inserted before it have passed: one with a late
// expiry keeps those inserted after it. Deleting a key leaves its place in that order; a place whose key is absent or
// has another value by then removes nothing. A Map does no locking, reads no clock and has no bound but expiry.
package expiringmap

import "time"

// Map maps keys to values with an expiry. Its zero value is empty and ready to use.
type Map[K, V comparable] struct {
	values map[K]V
	order  []entry[K, V]
}

type entry[K, V comparable] struct {
	key     K
	value   V
	expires time.Duration
}

// Get returns the value of the key and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	value, ok := m.values[key]
	return value, ok
}

// Insert adds a value that expires at the clock reading given, unless the key has one already.
func (m *Map[K, V]) Insert(key K, value V, expires time.Duration) {
	if _, ok := m.values[key]; ok {
		return
	}
	if m.values == nil {
		m.values = map[K]V{}
	}
	m.values[key] = value
	m.order = append(m.order, entry[K, V]{key, value, expires})
}

// Delete removes the key.
func (m *Map[K, V]) Delete(key K) { delete(m.values, key) }

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.values) }

// Expire removes entries, oldest insertion first, up to the first that has not expired at the reading now.
func (m *Map[K, V]) Expire(now time.Duration) {
	for len(m.order) > 0 && now >= m.order[0].expires {
		oldest := m.order[0]
		if value, ok := m.values[oldest.key]; ok && value == oldest.value {
			delete(m.values, oldest.key)
		}
		m.order = m.order[1:]
	}
}
