package quota

import (
	"errors"
	"strings"
	"testing"

	"eidertrail/internal/remedy"
)

func TestAllocator_RejectsInvalidMessagesWithTypedErrors(t *testing.T) {
	request := message{kind: requestMessage, request: 1, units: 1, resource: testPool}
	tooManyUnits := request
	tooManyUnits.units = maxUnits + 1
	for _, test := range []struct {
		name string
		from int
		body []byte
	}{
		{"a body that is too short", 1, request.encode()[:headSize]},
		{"a message type that does not exist", 1, append([]byte{9}, request.encode()[1:]...)},
		{"more units than any total", 1, tooManyUnits.encode()},
		{"a sender outside the fleet", 2, request.encode()},
		{"the member itself as sender", 0, request.encode()},
		{"an invalid body of an invalid sender", 2, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 2, Config{OwnedUnits: 4, TTL: testTTL, Margin: testMargin}, noSlowMember)

			out, err := f.allocators[0].Receive(f.clock[0], test.from, test.body)

			var messageError *MessageError
			if !errors.As(err, &messageError) || remedy.Of(err) == "" {
				t.Errorf("%v is no MessageError with a remedy", err)
			}
			if len(out) > 0 || f.allocators[0].resources[testPool] != nil {
				t.Errorf("it sent %d messages, and opened the accounts of %v", len(out), f.allocators[0].resources)
			}
		})
	}
}

func TestAllocator_RejectsResourcesBeyondItsCapacity(t *testing.T) {
	f := newFleet(t, 2, Config{OwnedUnits: 4, TTL: testTTL, Margin: testMargin}, noSlowMember)
	for length := range MaxResources {
		f.allocators[0].Demand(f.clock[0], strings.Repeat("p", length+1), 1)
	}
	request := message{kind: requestMessage, request: 1, units: 1, resource: "one more"}

	_, err := f.allocators[0].Receive(f.clock[0], 1, request.encode())

	var capacityError *CapacityError
	if !errors.As(err, &capacityError) || capacityError.Resource != "one more" || capacityError.Others != MaxResources {
		t.Errorf("%v is no CapacityError of that resource", err)
	}
}

func TestConfig_InvalidFieldIsAConfigError(t *testing.T) {
	_, err := New(Config{Members: 2, OwnedUnits: 4, TTL: testTTL, Margin: -1}, 0)

	var configError *ConfigError
	if !errors.As(err, &configError) || !errors.Is(err, ErrConfig) || configError.Field != "lease, margin" {
		t.Errorf("%v is no ConfigError of the lease and its margin", err)
	}
}
