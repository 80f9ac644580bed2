package recorded

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
)

// Digest is a running SHA-256 over values, each encoded with its length or in a fixed one, so that two different
// sequences of the same kinds of values never share an encoding. The encoding is part of the recorded files: it stays
// as it is.
type Digest struct {
	hash    hash.Hash
	encoded []byte // of the latest value, kept for its capacity
}

// NewDigest returns the digest of no values.
func NewDigest() *Digest { return &Digest{hash: sha256.New()} }

// Number adds a signed number, as a zigzag varint.
func (d *Digest) Number(n int64) {
	d.encoded = binary.AppendVarint(d.encoded[:0], n)
	d.hash.Write(d.encoded)
}

// Unsigned adds a number as a varint without the zigzag; it isn't what Number adds for the same value.
func (d *Digest) Unsigned(n uint64) {
	d.encoded = binary.AppendUvarint(d.encoded[:0], n)
	d.hash.Write(d.encoded)
}

// Flag adds the number 1 or 0.
func (d *Digest) Flag(b bool) {
	if b {
		d.Number(1)
		return
	}
	d.Number(0)
}

// Real adds the bits of x, so that both zeros and every kind of not-a-number differ.
func (d *Digest) Real(x float64) {
	d.encoded = binary.BigEndian.AppendUint64(d.encoded[:0], math.Float64bits(x))
	d.hash.Write(d.encoded)
}

// Data adds the length of b, as a Number, and its bytes.
func (d *Digest) Data(b []byte) {
	d.Number(int64(len(b)))
	d.hash.Write(b)
}

// Text adds the bytes of s as Data does.
func (d *Digest) Text(s string) { d.Data([]byte(s)) }

// Sum returns the digest of all values so far, in hex. Values may be added after it.
func (d *Digest) Sum() string { return hex.EncodeToString(d.hash.Sum(nil)) }
