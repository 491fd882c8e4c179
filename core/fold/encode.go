package fold

import (
	"bytes"
	"cmp"
	"compress/flate"
	"container/heap"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kumquathinge/core"
	"kumquathinge/core/tree"
)

// formatVersion is the version of the encoded state.
const formatVersion uint16 = 1

const maxImageBytes = 256 << 20

// image is the encoded form of a State.
type image struct {
	Format  uint16            `cbor:"1,keyasint"`
	Hash    uint64            `cbor:"2,keyasint"`
	Offset  core.Offset       `cbor:"3,keyasint"`
	Now     time.Time         `cbor:"4,keyasint"`
	Horizon time.Time         `cbor:"5,keyasint"`
	Rules   []uint16          `cbor:"6,keyasint"`
	Nodes   []imageNode       `cbor:"7,keyasint"`
	Groups  []core.Assignment `cbor:"8,keyasint"`
	Holds   []Hold            `cbor:"9,keyasint"`
	Claims  []*Claim          `cbor:"10,keyasint"`
	Done    []Verdict         `cbor:"11,keyasint"`
	Audit   []AuditLine       `cbor:"12,keyasint"`
	Snaps   []snapProgress    `cbor:"13,keyasint"`
	SnapAt  core.Offset       `cbor:"14,keyasint"`
}

type imageNode struct {
	Path    tree.Path    `cbor:"1,keyasint"`
	Version core.Offset  `cbor:"2,keyasint"`
	Values  []imageValue `cbor:"3,keyasint"`
}

type imageValue struct {
	Key     string      `cbor:"1,keyasint"`
	Raw     []byte      `cbor:"2,keyasint"`
	Version core.Offset `cbor:"3,keyasint"`
}

var encMode, decMode = mustModes()

func mustModes() (cbor.EncMode, cbor.DecMode) {
	opt := cbor.CoreDetEncOptions()
	opt.Time = cbor.TimeRFC3339NanoUTC
	enc, err := opt.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 24,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

func encode(val any) []byte {
	out, err := encMode.Marshal(val)
	if err != nil {
		panic(err)
	}
	return out
}

// Image is a copy of a State that can be encoded while the state changes. Its
// methods may be called from several goroutines.
type Image struct {
	img    image
	tre    *tree.Tree
	claims []*Claim
}

// Image returns a copy of the state. It copies references only: what the state
// stores is never written again.
func (sta *State) Image() *Image {
	img := &Image{
		img: image{
			Format: formatVersion, Hash: sta.Hash(), Offset: sta.offset, Now: sta.now, Horizon: sta.horizon,
			Rules: sta.rules.Sorted(), Groups: sta.Assignments(), Holds: sta.Holds(),
			Audit: slices.Clip(sta.audit), Snaps: cloneProgress(sta.snaps), SnapAt: sta.snapAt,
		},
		tre:    sta.tre,
		claims: slices.AppendSeq(make([]*Claim, 0, len(sta.claims)), maps.Values(sta.claims)),
	}
	for _, id := range sta.queue {
		img.img.Done = append(img.img.Done, sta.done[id])
	}
	return img
}

// Offset returns the offset of the state that was copied.
func (img *Image) Offset() core.Offset { return img.img.Offset }

// Encode returns the encoded state. Equal states that one program version
// folded have equal encodings.
func (img *Image) Encode() []byte {
	out := img.img
	for _, pth := range img.tre.Paths() {
		out.Nodes = append(out.Nodes, imageOf(img.tre, pth))
	}
	out.Claims = slices.SortedFunc(slices.Values(img.claims), func(one, two *Claim) int {
		return cmp.Or(cmp.Compare(one.Org, two.Org), cmp.Compare(one.Key, two.Key))
	})
	return pack(encode(out))
}

// pack compresses data (RFC 1951): names and record IDs repeat a lot.
func pack(data []byte) []byte {
	var buf bytes.Buffer
	wri, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	_, err = wri.Write(data)
	if err != nil {
		panic(err)
	}
	err = wri.Close()
	if err != nil {
		panic(err)
	}
	return buf.Bytes()
}

// unpack undoes pack. It refuses what unpacks to more than maxImageBytes.
func unpack(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxImageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(out) > maxImageBytes {
		return nil, errors.New("more data than a state has")
	}
	return out, nil
}

// Encode returns the encoded state, as Image and its Encode do.
func (sta *State) Encode() []byte { return sta.Image().Encode() }

func cloneProgress(pros []snapProgress) []snapProgress {
	out := slices.Clone(pros)
	for idx := range out {
		out[idx].Seen = slices.Clone(out[idx].Seen)
	}
	return out
}

func imageOf(tre *tree.Tree, pth tree.Path) imageNode {
	nod := imageNode{Path: pth, Version: tre.Version(pth)}
	for _, val := range tre.OwnValues(pth) {
		nod.Values = append(nod.Values, imageValue{Key: val.Key, Raw: val.Raw, Version: val.Version})
	}
	return nod
}

// Decode returns the state that Encode encoded. Its error carries
// core.CodeSnapshotBad if data is damaged or needs a newer program.
func Decode(data []byte) (*State, error) { return DecodeFor(Newest, data) }

// DecodeFor is Decode for a program that knows the given versions and rules.
func DecodeFor(prg Program, data []byte) (*State, error) {
	var img image
	raw, err := unpack(data)
	if err == nil {
		err = decMode.Unmarshal(raw, &img)
	}
	if err != nil {
		return nil, core.Errorf(core.CodeSnapshotBad, "encoded state can't be read: %v", err)
	}
	if img.Format != formatVersion {
		return nil, core.Errorf(core.CodeSnapshotBad, "encoded state has format %d, this program reads %d", img.Format, formatVersion)
	}
	sta := NewFor(prg)
	for _, step := range []func(image) error{sta.loadRules, sta.loadTree, sta.loadGroups, sta.loadClaims, sta.loadMemory} {
		err = step(img)
		if err != nil {
			return nil, err
		}
	}
	sta.sum = sta.total()
	if got := sta.Hash(); got != img.Hash {
		return nil, core.Errorf(core.CodeSnapshotBad, "encoded state at offset %d has hash %016x, not the %016x that it states",
			img.Offset, got, img.Hash)
	}
	return sta, nil
}

func (sta *State) loadRules(img image) error {
	sta.offset = img.Offset
	sta.now = img.Now.UTC()
	sta.horizon = img.Horizon.UTC()
	sta.snaps = img.Snaps
	sta.snapAt = img.SnapAt
	for _, num := range img.Rules {
		if num > sta.prg.Rules {
			return core.Errorf(core.CodeSnapshotBad, "encoded state has rule %d, this program knows up to %d: upgrade this program", num, sta.prg.Rules)
		}
		sta.rules.Add(num)
	}
	return nil
}

func (sta *State) loadTree(img image) error {
	bld := tree.NewBuilder()
	for _, nod := range img.Nodes {
		bld.AddNode(nod.Path, nod.Version)
		for _, val := range nod.Values {
			err := bld.SetValue(nod.Path, val.Key, val.Raw, val.Version)
			if err != nil {
				return core.Errorf(core.CodeSnapshotBad, "encoded state has a bad setting: %v", err)
			}
		}
	}
	sta.tre = bld.Tree()
	return nil
}

func (sta *State) loadGroups(img image) error {
	for _, asg := range img.Groups {
		sta.groups[asg.Group] = asg
	}
	for _, hld := range img.Holds {
		if _, ok := sta.groups[hld.Group]; !ok {
			return core.Errorf(core.CodeSnapshotBad, "encoded state holds VM %q for no group", hld.VM)
		}
		sta.holds[hld.VM] = hld
	}
	return nil
}

func (sta *State) loadClaims(img image) error {
	for _, clm := range img.Claims {
		if clm == nil {
			return core.Errorf(core.CodeSnapshotBad, "encoded state has an empty claim")
		}
		clm.Issued = clm.Issued.UTC()
		key := claimKey{org: clm.Org, key: clm.Key}
		sta.claims[key] = clm
		sta.expiry = append(sta.expiry, expiryItem{at: clm.Issued, key: key})
	}
	heap.Init(&sta.expiry)
	return nil
}

func (sta *State) loadMemory(img image) error {
	for _, ver := range img.Done {
		sta.done[ver.Record] = ver
		sta.queue = append(sta.queue, ver.Record)
	}
	for idx := range img.Audit {
		img.Audit[idx].At = img.Audit[idx].At.UTC()
		sta.done[img.Audit[idx].Record] = img.Audit[idx].verdict()
	}
	sta.audit = img.Audit
	if len(sta.done) != len(img.Done)+len(img.Audit) {
		return core.Errorf(core.CodeSnapshotBad, "encoded state has two verdicts on one record")
	}
	return nil
}
