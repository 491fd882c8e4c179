package fold

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core/tree"
)

// Kinds of item that the hash of the state sums up.
const (
	itemGroup = "group"
	itemHold  = "hold"
	itemClaim = "claim"
	itemRule  = "rule"
)

// verdictHashBytes holds the hashed form of a verdict with an ID of usual
// length.
const verdictHashBytes = 128

// Hash returns a hash of the state. It is kept up to date by every change: the
// state is a set of items, and the hash covers the sum of the items' hashes
// (Bellare and Micciancio, "A New Paradigm for Collision-Free Hashing:
// Incrementality at Reduced Cost", 1997), the offset and the times. Texts that
// only explain a verdict are left out, since programs may word them
// differently.
func (sta *State) Hash() uint64 {
	var buf [40]byte
	binary.LittleEndian.PutUint64(buf[0:], uint64(sta.offset))
	binary.LittleEndian.PutUint64(buf[8:], uint64(sta.now.UnixNano()))
	binary.LittleEndian.PutUint64(buf[16:], uint64(sta.horizon.UnixNano()))
	binary.LittleEndian.PutUint64(buf[24:], uint64(sta.snapAt))
	binary.LittleEndian.PutUint64(buf[32:], sta.sum)
	return xxhash.Sum64(buf[:])
}

// itemHash returns the hash of one item by its encoding.
func itemHash(kind string, itm any) uint64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(kind)
	_, _ = dig.Write(encode(itm))
	return dig.Sum64()
}

func (ver Verdict) hash() uint64 {
	var arr [verdictHashBytes]byte
	buf := append(arr[:0], "verdict "...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(ver.Offset))
	buf = binary.LittleEndian.AppendUint16(buf, uint16(ver.Code))
	buf = append(buf, ver.Record...)
	return xxhash.Sum64(buf)
}

// nodeHash returns the hash of a node of the settings, zero if it has none.
func nodeHash(tre *tree.Tree, pth tree.Path) uint64 {
	ver := tre.Version(pth)
	if ver == 0 {
		return 0
	}
	dig := xxhash.New()
	_, _ = fmt.Fprintf(dig, "node %s %d", pth, ver)
	for _, val := range tre.OwnValues(pth) {
		_, _ = fmt.Fprintf(dig, " %s=%s@%d", val.Key, val.Raw, val.Version)
	}
	return dig.Sum64()
}

// total returns the sum of the hashes of all items.
func (sta *State) total() uint64 {
	var sum uint64
	for _, pth := range sta.tre.Paths() {
		sum += nodeHash(sta.tre, pth)
	}
	for _, asg := range sta.groups {
		sum += itemHash(itemGroup, asg)
	}
	for _, hld := range sta.holds {
		sum += itemHash(itemHold, hld)
	}
	for _, clm := range sta.claims {
		sum += itemHash(itemClaim, *clm)
	}
	for _, ver := range sta.done {
		sum += ver.hash()
	}
	for _, num := range sta.rules.Sorted() {
		sum += itemHash(itemRule, num)
	}
	return sum
}
