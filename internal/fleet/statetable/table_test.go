package statetable

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
)

// Values of one fragment and of many reach every member, with a fifth of the datagrams lost and a fifth duplicated.
func TestTable_ValuesReachAllMembersDespiteLossAndDuplication(t *testing.T) {
	for _, members := range []int{2, 3, 9, 60, 300} {
		t.Run(strconv.Itoa(members), func(t *testing.T) {
			if members > 60 && os.Getenv("EIDERTRAIL_MEASURE") == "" {
				t.Skip("long")
			}
			f := newFleet(t, members)
			f.loss, f.duplication, f.maxDelaySteps = 0.2, 0.2, 20
			for member := range f.tables {
				f.set(member, Region, []byte{byte('a' + member%4)})
			}
			f.set(1, Sketch, testValue(3, 2048))

			took := f.runUntil("all regions and the sketch", 60_000_000, func() bool {
				for member := range f.tables {
					if f.missing(member, Region) > 0 {
						return false
					}
				}
				return f.missing(1, Sketch) == 0
			})
			rate := float64(f.bytesSent()) / float64(members) / (float64(took) / 1e6)
			t.Logf("%d members: %.1f s, %.0f bytes a member a second", members, float64(took)/1e6, rate)

			f.loss, f.duplication = 0, 0
			f.run(20_000_000) // the last updates
			before := f.bytesSent()
			f.run(10_000_000)
			idleRate := float64(f.bytesSent()-before) / float64(members) / 10
			t.Logf("%d members: %.0f bytes a member a second without updates", members, idleRate)
			if limit := float64(1+4*maxBlocks) * 2 * 1.05; idleRate > limit {
				t.Errorf("%.0f bytes a member a second without updates, want at most a digest each interval, %.0f",
					idleRate, limit)
			}
		})
	}
}

// A value that changes faster than it can be disseminated is held by all members, some seconds old.
func TestTable_FrequentlyChangingValueStaysRecentAtAllMembers(t *testing.T) {
	f := newFleet(t, 9)
	f.loss = 0.2

	for change := range 120 {
		f.set(0, Sketch, testValue(byte(change), 2000))
		f.run(250_000)
	}

	for member, table := range f.tables {
		entry, found := table.Get(0, Sketch)
		if !found {
			t.Errorf("member %d holds none", member)
			continue
		}
		if behind := int(byte(119)) - int(entry.Value[0]); behind > 60 {
			t.Errorf("member %d holds what it was %d changes ago, 15 s and more", member, behind)
		}
	}
}

// Programs that know different kinds run side by side: those that know one exchange it, also through the others.
func TestTable_IgnoresKindsThatAreNotRegistered(t *testing.T) {
	f := newFleet(t, 6)
	for member := 1; member < 4; member++ { // older programs, half of the fleet
		f.start(member, 6, 2, testKinds[:1])
	}
	for member := range f.tables {
		f.set(member, Region, []byte("north"))
	}
	f.set(0, Sketch, testValue(1, 700))

	f.runUntil("regions at all, the sketch at the new programs", 60_000_000, func() bool {
		return f.missing(2, Region)+f.missing(0, Region) == 0 && f.missing(0, Sketch) == 3
	})

	var valueError *ValueError
	if err := f.tables[1].Set(f.now, Sketch, nil); !errors.As(err, &valueError) || valueError.Kind != Sketch {
		t.Errorf("a kind that is not registered: %v", err)
	}
}

// No value is taken twice, and no older value after a newer one, whatever the order of the datagrams.
func TestTable_KeepsNewestCompleteValueInAnyOrderOfArrival(t *testing.T) {
	sender, receiver := newFleet(t, 2).tables[0], newFleet(t, 2).tables[1]
	var bodies [][]byte
	for version := range 4 {
		if err := sender.Set(0, Sketch, testValue(byte(version), 400)); err != nil {
			t.Fatal(err)
		}
		for _, outgoing := range sender.Tick(int64(version) * 1_000_000) {
			if messageType(outgoing.Body[0]) == fragmentsMessage {
				bodies = append(bodies, outgoing.Body)
			}
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		rng.Shuffle(len(bodies), func(i, j int) { bodies[i], bodies[j] = bodies[j], bodies[i] })
		last := uint32(0)
		for _, body := range append(slices.Clone(bodies), bodies...) {
			if _, err := receiver.Receive(1, 0, body); err != nil {
				t.Fatal(err)
			}
			for _, change := range receiver.TakeChanges() {
				if change.Version <= last {
					t.Errorf("version %d after %d", change.Version, last)
				}
				if !bytes.Equal(change.Value, testValue(byte(change.Version-1), 400)) {
					t.Errorf("version %d is reassembled wrongly", change.Version)
				}
				last = change.Version
			}
		}
		receiver.Drop(0, Sketch)
	}
}

func FuzzReceive(f *testing.F) {
	sender := newFleet(f, 3).tables[0]
	if err := sender.Set(0, Versions, []byte("hello")); err != nil {
		f.Fatal(err)
	}
	if err := sender.Set(0, Sketch, testValue(1, 500)); err != nil {
		f.Fatal(err)
	}
	for _, outgoing := range sender.Tick(0) {
		f.Add(outgoing.Body)
	}
	f.Add(sender.summaries(0, 3)[0])
	f.Fuzz(func(t *testing.T, body []byte) {
		receiver := newFleet(t, 3).tables[1]
		if err := receiver.Set(0, Versions, []byte("mine")); err != nil {
			t.Fatal(err)
		}

		out, err := receiver.Receive(0, 0, body)

		var messageError *MessageError
		if err != nil && !errors.As(err, &messageError) {
			t.Errorf("%v is no MessageError", err)
		}
		for _, outgoing := range out {
			if len(outgoing.Body) > maxBody || outgoing.To != 0 {
				t.Errorf("%d bytes for member %d", len(outgoing.Body), outgoing.To)
			}
		}
		if own, found := receiver.Get(1, Versions); !found || string(own.Value) != "mine" {
			t.Errorf("its own value is %q", own.Value)
		}
		for _, spec := range testKinds {
			receiver.Each(spec.Kind, func(_ int, entry Entry) {
				if len(entry.Value) > roundUpToFragments(spec.MaxLength) {
					t.Errorf("a value of %d bytes for %s", len(entry.Value), spec.Name)
				}
			})
		}
	})
}
