package fold

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core/tree"
)

// Kinds of item that contribute to the hash of the state.
const (
	itemAssignment = "group"
	itemHold       = "hold"
	itemClaim      = "claim"
	itemRule       = "rule"
)

// decisionBufferSize is large enough to hash a decision with an ID of typical
// length without an allocation.
const decisionBufferSize = 128

// Hash returns a hash of the state, which every change updates incrementally:
// the state is a set of items, and the hash covers the sum of the items'
// hashes (Bellare and Micciancio, "A New Paradigm for Collision-Free Hashing:
// Incrementality at Reduced Cost", 1997), the offset and the times. Texts that
// only explain a decision are excluded, since program versions may word them
// differently.
func (st *State) Hash() uint64 {
	var buf [40]byte
	binary.LittleEndian.PutUint64(buf[0:], uint64(st.offset))
	binary.LittleEndian.PutUint64(buf[8:], uint64(st.now.UnixNano()))
	binary.LittleEndian.PutUint64(buf[16:], uint64(st.claimCutoff.UnixNano()))
	binary.LittleEndian.PutUint64(buf[24:], uint64(st.snapshotOffset))
	binary.LittleEndian.PutUint64(buf[32:], st.itemHashSum)
	return xxhash.Sum64(buf[:])
}

// itemHash returns the hash of the encoded item.
func itemHash(kind string, item any) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(kind)
	_, _ = digest.Write(encode(item))
	return digest.Sum64()
}

// The prefix "verdict " must not change, since nodes compare the hashes.
func (decision Decision) hash() uint64 {
	var arr [decisionBufferSize]byte
	buf := append(arr[:0], "verdict "...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(decision.Offset))
	buf = binary.LittleEndian.AppendUint16(buf, uint16(decision.Code))
	buf = append(buf, decision.Record...)
	return xxhash.Sum64(buf)
}

// nodeHash returns the hash of a node of the settings tree, zero if the node
// was never set.
func nodeHash(settings *tree.Tree, path tree.Path) uint64 {
	version := settings.Version(path)
	if version == 0 {
		return 0
	}
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "node %s %d", path, version)
	for _, val := range settings.OwnValues(path) {
		_, _ = fmt.Fprintf(digest, " %s=%s@%d", val.Key, val.Raw, val.Version)
	}
	return digest.Sum64()
}

// sumItemHashes returns the sum of the hashes of all items.
func (st *State) sumItemHashes() uint64 {
	var sum uint64
	for _, path := range st.settings.Paths() {
		sum += nodeHash(st.settings, path)
	}
	for _, asg := range st.assignments {
		sum += itemHash(itemAssignment, asg)
	}
	for _, hold := range st.holds {
		sum += itemHash(itemHold, hold)
	}
	for _, claim := range st.claims {
		sum += itemHash(itemClaim, *claim)
	}
	for _, decision := range st.decisions {
		sum += decision.hash()
	}
	for _, num := range st.rules.Sorted() {
		sum += itemHash(itemRule, num)
	}
	return sum
}
