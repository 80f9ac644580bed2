// Package recentset remembers a bounded number of strings: the ones added last. It is a first-in, first-out set on
// golang-lru, whose order of use is left alone: neither a look-up nor a second Add of a member moves it.
package recentset

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Set is a set of the strings added last. It is not safe for concurrent use.
type Set struct {
	members *simplelru.LRU[string, struct{}]
}

// New returns an empty set that keeps at most capacity strings. It panics where capacity is not positive.
func New(capacity int) *Set {
	members, err := simplelru.NewLRU[string, struct{}](capacity, nil)
	if err != nil {
		panic(fmt.Sprintf("recentset: capacity %d: %v", capacity, err))
	}
	return &Set{members: members}
}

// Add adds a string and drops the oldest one where the set is full. One that is in the set keeps its place.
func (s *Set) Add(member string) {
	if s.members.Contains(member) {
		return
	}
	s.members.Add(member, struct{}{})
}

// Members returns the strings in the set, the oldest first.
func (s *Set) Members() []string { return s.members.Keys() }

// Contains reports whether a string is in the set.
func (s *Set) Contains(member string) bool { return s.members.Contains(member) }
