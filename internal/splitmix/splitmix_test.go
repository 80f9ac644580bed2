package splitmix_test

import (
	"testing"

	"eidertrail/internal/splitmix"
)

// The first numbers of the reference generator with seed 0: the finalizer of one Gamma, two, three.
func TestMix_GivesTheReferenceSequence(t *testing.T) {
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		key := uint64(i+1) * splitmix.Gamma // wraps around
		if got := splitmix.Mix(key); got != want {
			t.Errorf("Mix(%#x) = %#x, want %#x", key, got, want)
		}
	}
}

func TestFloat64_IsUniformIn0To1(t *testing.T) {
	const draws, buckets = 100_000, 10
	var counts [buckets]int
	for key := range uint64(draws) {
		number := splitmix.Float64(key)
		if number < 0 || number >= 1 {
			t.Fatalf("Float64(%d) = %v, want it in [0, 1)", key, number)
		}
		counts[int(number*buckets)]++
	}
	for bucket, count := range counts {
		if count < 9_500 || count > 10_500 {
			t.Errorf("%d of %d numbers in tenth %d", count, draws, bucket)
		}
	}
}
