package statetable

import "encoding/binary"

const (
	hashSize = uint32Size
	// maxBlocks is how many hashes fit into a digest. Together they cover all members.
	maxBlocks = (maxBody - typeSize) / hashSize
)

func encodeDigest(hashes []uint32) []byte {
	body := []byte{byte(digestMessage)}
	for _, hash := range hashes {
		body = binary.BigEndian.AppendUint32(body, hash)
	}
	return body
}

// decodeDigest reads a payload of a multiple of hashSize bytes.
func decodeDigest(payload []byte) []uint32 {
	reader := fieldReader(payload)
	hashes := make([]uint32, len(payload)/hashSize)
	for block := range hashes {
		hashes[block] = reader.uint32()
	}
	return hashes
}
