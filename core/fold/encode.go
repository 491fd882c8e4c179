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

// maxStateBytes limits the size of a decompressed state.
const maxStateBytes = 256 << 20

// encodedState is the encoded form of a State.
type encodedState struct {
	Format           uint16            `cbor:"1,keyasint"`
	Hash             uint64            `cbor:"2,keyasint"`
	Offset           core.Offset       `cbor:"3,keyasint"`
	Now              time.Time         `cbor:"4,keyasint"`
	ClaimCutoff      time.Time         `cbor:"5,keyasint"`
	Rules            []uint16          `cbor:"6,keyasint"`
	Nodes            []encodedNode     `cbor:"7,keyasint"`
	Assignments      []core.Assignment `cbor:"8,keyasint"`
	Holds            []Hold            `cbor:"9,keyasint"`
	Claims           []*Claim          `cbor:"10,keyasint"`
	Decisions        []Decision        `cbor:"11,keyasint"`
	Audit            []AuditLine       `cbor:"12,keyasint"`
	PartialSnapshots []partialSnapshot `cbor:"13,keyasint"`
	SnapshotOffset   core.Offset       `cbor:"14,keyasint"`
}

type encodedNode struct {
	Path    tree.Path      `cbor:"1,keyasint"`
	Version core.Offset    `cbor:"2,keyasint"`
	Values  []encodedValue `cbor:"3,keyasint"`
}

type encodedValue struct {
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

// Snapshot is a copy of a State that can be encoded while the state changes.
// Its methods are safe for concurrent use.
type Snapshot struct {
	fields   encodedState
	settings *tree.Tree
	claims   []*Claim
}

// Snapshot returns a copy of the state. It copies references only, since
// stored values are immutable.
func (st *State) Snapshot() *Snapshot {
	snap := &Snapshot{
		fields: encodedState{
			Format: formatVersion, Hash: st.Hash(), Offset: st.offset, Now: st.now, ClaimCutoff: st.claimCutoff,
			Rules: st.rules.Sorted(), Assignments: st.Assignments(), Holds: st.Holds(),
			Audit: slices.Clip(st.audit), PartialSnapshots: clonePartialSnapshots(st.partialSnapshots), SnapshotOffset: st.snapshotOffset,
		},
		settings: st.settings,
		claims:   slices.AppendSeq(make([]*Claim, 0, len(st.claims)), maps.Values(st.claims)),
	}
	for _, id := range st.decisionQueue {
		snap.fields.Decisions = append(snap.fields.Decisions, st.decisions[id])
	}
	return snap
}

// Offset returns the offset of the copied state.
func (snap *Snapshot) Offset() core.Offset { return snap.fields.Offset }

// Encode returns the encoded state. Equal states produced by the same program
// version have equal encodings.
func (snap *Snapshot) Encode() []byte {
	out := snap.fields
	for _, path := range snap.settings.Paths() {
		out.Nodes = append(out.Nodes, encodeNode(snap.settings, path))
	}
	out.Claims = slices.SortedFunc(slices.Values(snap.claims), func(one, two *Claim) int {
		return cmp.Or(cmp.Compare(one.Org, two.Org), cmp.Compare(one.Key, two.Key))
	})
	return compress(encode(out))
}

// compress compresses data with DEFLATE (RFC 1951), since names and record IDs
// repeat often.
func compress(data []byte) []byte {
	var buf bytes.Buffer
	writer, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	_, err = writer.Write(data)
	if err != nil {
		panic(err)
	}
	err = writer.Close()
	if err != nil {
		panic(err)
	}
	return buf.Bytes()
}

// decompress reverses compress. It returns an error if the result is larger
// than maxStateBytes.
func decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxStateBytes+1))
	if err != nil {
		return nil, err
	}
	if len(out) > maxStateBytes {
		return nil, errors.New("decompressed data exceeds the maximum size of a state")
	}
	return out, nil
}

// Encode returns the encoded state, as Snapshot().Encode() does.
func (st *State) Encode() []byte { return st.Snapshot().Encode() }

func clonePartialSnapshots(partials []partialSnapshot) []partialSnapshot {
	out := slices.Clone(partials)
	for idx := range out {
		out[idx].Received = slices.Clone(out[idx].Received)
	}
	return out
}

func encodeNode(settings *tree.Tree, path tree.Path) encodedNode {
	node := encodedNode{Path: path, Version: settings.Version(path)}
	for _, val := range settings.OwnValues(path) {
		node.Values = append(node.Values, encodedValue{Key: val.Key, Raw: val.Raw, Version: val.Version})
	}
	return node
}

// Decode returns the state that Encode encoded. Its error carries
// core.CodeSnapshotBad if data is damaged or needs a newer program.
func Decode(data []byte) (*State, error) { return DecodeFor(Supported, data) }

// DecodeFor is Decode for a program that supports the given versions.
func DecodeFor(versions Versions, data []byte) (*State, error) {
	var enc encodedState
	raw, err := decompress(data)
	if err == nil {
		err = decMode.Unmarshal(raw, &enc)
	}
	if err != nil {
		return nil, core.Errorf(core.CodeSnapshotBad, "encoded state can't be decoded: %v", err)
	}
	if enc.Format != formatVersion {
		return nil, core.Errorf(core.CodeSnapshotBad, "encoded state has format %d, this program reads %d", enc.Format, formatVersion)
	}
	st := NewFor(versions)
	for _, step := range []func(encodedState) error{st.loadHeader, st.loadSettings, st.loadAssignments, st.loadClaims, st.loadDecisions} {
		err = step(enc)
		if err != nil {
			return nil, err
		}
	}
	st.itemHashSum = st.sumItemHashes()
	if got := st.Hash(); got != enc.Hash {
		return nil, core.Errorf(core.CodeSnapshotBad, "encoded state at offset %d has hash %016x, but states %016x",
			enc.Offset, got, enc.Hash)
	}
	return st, nil
}

func (st *State) loadHeader(enc encodedState) error {
	st.offset = enc.Offset
	st.now = enc.Now.UTC()
	st.claimCutoff = enc.ClaimCutoff.UTC()
	st.partialSnapshots = enc.PartialSnapshots
	st.snapshotOffset = enc.SnapshotOffset
	for _, num := range enc.Rules {
		if num > st.supported.Rule {
			return core.Errorf(core.CodeSnapshotBad, "encoded state has rule %d, this program supports rules up to %d: upgrade this program", num, st.supported.Rule)
		}
		st.rules.Add(num)
	}
	return nil
}

func (st *State) loadSettings(enc encodedState) error {
	builder := tree.NewBuilder()
	for _, node := range enc.Nodes {
		builder.AddNode(node.Path, node.Version)
		for _, val := range node.Values {
			err := builder.SetValue(node.Path, val.Key, val.Raw, val.Version)
			if err != nil {
				return core.Errorf(core.CodeSnapshotBad, "encoded state has an invalid setting: %v", err)
			}
		}
	}
	st.settings = builder.Tree()
	return nil
}

func (st *State) loadAssignments(enc encodedState) error {
	for _, asg := range enc.Assignments {
		st.assignments[asg.Group] = asg
	}
	for _, hold := range enc.Holds {
		if _, ok := st.assignments[hold.Group]; !ok {
			return core.Errorf(core.CodeSnapshotBad, "encoded state holds VM %q for an unknown group", hold.VM)
		}
		st.holds[hold.VM] = hold
	}
	return nil
}

func (st *State) loadClaims(enc encodedState) error {
	for _, claim := range enc.Claims {
		if claim == nil {
			return core.Errorf(core.CodeSnapshotBad, "encoded state has an empty claim")
		}
		claim.Issued = claim.Issued.UTC()
		key := claimKey{org: claim.Org, key: claim.Key}
		st.claims[key] = claim
		st.claimExpiry = append(st.claimExpiry, expiryItem{issuedAt: claim.Issued, key: key})
	}
	heap.Init(&st.claimExpiry)
	return nil
}

func (st *State) loadDecisions(enc encodedState) error {
	for _, decision := range enc.Decisions {
		st.decisions[decision.Record] = decision
		st.decisionQueue = append(st.decisionQueue, decision.Record)
	}
	for idx := range enc.Audit {
		enc.Audit[idx].At = enc.Audit[idx].At.UTC()
		st.decisions[enc.Audit[idx].Record] = enc.Audit[idx].decision()
	}
	st.audit = enc.Audit
	if len(st.decisions) != len(enc.Decisions)+len(enc.Audit) {
		return core.Errorf(core.CodeSnapshotBad, "encoded state has two decisions on one record")
	}
	return nil
}
