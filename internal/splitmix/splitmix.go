// Package splitmix turns keys into uniform random numbers by the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast
// splittable pseudorandom number generators", OOPSLA 2014). Equal keys give equal numbers and similar ones unrelated
// numbers, so that a draw can be repeated without storing it.
package splitmix

// Gamma is the odd constant by which SplitMix64 spaces the keys of a sequence.
const Gamma = 0x9e3779b97f4a7c15

// The multipliers of the finalizer (variant 13 of Stafford's mixers).
const (
	firstMultiplier  = 0xbf58476d1ce4e5b9
	secondMultiplier = 0x94d049bb133111eb
)

const (
	keyBits      = 64
	mantissaBits = 53 // of a float64
)

// Mix returns the finalizer of key: a bijection in which each input bit changes each output bit with probability 1/2.
func Mix(key uint64) uint64 {
	key = (key ^ key>>30) * firstMultiplier
	key = (key ^ key>>27) * secondMultiplier
	return key ^ key>>31
}

// Float64 returns the number in [0, 1) that belongs to key.
func Float64(key uint64) float64 {
	return float64(Mix(key)>>(keyBits-mantissaBits)) / (1 << mantissaBits)
}
