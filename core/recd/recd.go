package recd

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"kumquathinge/core"
)

// Version is the newest record version that this program writes and reads.
const Version uint16 = 1

// Batch is the content of one log entry.
type Batch struct {
	Version uint16   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

// Record is one proposal. Exactly one of the pointers is set.
type Record struct {
	ID       core.RecordID  `cbor:"1,keyasint"`
	By       string         `cbor:"2,keyasint"`
	Setting  *Setting       `cbor:"10,keyasint,omitempty"`
	Assign   *Assign        `cbor:"11,keyasint,omitempty"`
	Retire   *Retire        `cbor:"12,keyasint,omitempty"`
	Unload   *Unload        `cbor:"13,keyasint,omitempty"`
	Claim    *Claim         `cbor:"14,keyasint,omitempty"`
	Result   *Result        `cbor:"15,keyasint,omitempty"`
	Release  *Release       `cbor:"16,keyasint,omitempty"`
	Snapshot *SnapshotChunk `cbor:"17,keyasint,omitempty"`
	Rule     *Rule          `cbor:"18,keyasint,omitempty"`
}

// Setting changes one key of one node of the settings tree. Base is the
// version (offset) of the node from which the change was made; the record is
// rejected if the node has changed since. A nil Value removes the key, so that
// the node inherits it again.
type Setting struct {
	Path  string      `cbor:"1,keyasint"`
	Key   string      `cbor:"2,keyasint"`
	Value []byte      `cbor:"3,keyasint,omitempty"`
	Base  core.Offset `cbor:"4,keyasint"`
	Note  string      `cbor:"5,keyasint,omitempty"`
}

// Assign assigns VMs of one fabric domain to a group. Base is the fencing
// token of the group's previous assignment, zero for a new group. The offset
// of the accepted record is the new fencing token.
type Assign struct {
	Group  core.GroupName `cbor:"1,keyasint"`
	Zone   core.Zone      `cbor:"2,keyasint"`
	Domain core.Domain    `cbor:"3,keyasint"`
	VMs    []core.VMName  `cbor:"4,keyasint"`
	Spec   core.Spec      `cbor:"5,keyasint"`
	Base   core.Offset    `cbor:"6,keyasint"`
}

// Retire ends the service of a group's assignment. Base is the assignment's
// fencing token. The group holds its VMs until an Unload record releases them.
type Retire struct {
	Group  core.GroupName `cbor:"1,keyasint"`
	Base   core.Offset    `cbor:"2,keyasint"`
	Reason string         `cbor:"3,keyasint"`
}

// Unload states that the VMs of a retired assignment no longer have anything
// of it loaded: a probe found each empty, or its process has ended.
type Unload struct {
	Group core.GroupName `cbor:"1,keyasint"`
	Base  core.Offset    `cbor:"2,keyasint"`
	VMs   []core.VMName  `cbor:"3,keyasint"`
}

// Claim claims the only execution of a request that must run at most once.
// Issued is the caller's issue time. Digest is a hash of the request's
// content: a retry with the same key and different content is rejected.
type Claim struct {
	Org    core.OrgName        `cbor:"1,keyasint"`
	Key    core.IdempotencyKey `cbor:"2,keyasint"`
	Issued time.Time           `cbor:"3,keyasint"`
	Digest uint64              `cbor:"4,keyasint"`
	Holder core.NodeName       `cbor:"5,keyasint"`
}

// Result records the outcome of a claimed request. Claim is the offset of the
// claim. Unknown states only that the request ran at most once.
type Result struct {
	Org     core.OrgName        `cbor:"1,keyasint"`
	Key     core.IdempotencyKey `cbor:"2,keyasint"`
	Claim   core.Offset         `cbor:"3,keyasint"`
	Unknown bool                `cbor:"4,keyasint,omitempty"`
	Reply   core.Reply          `cbor:"5,keyasint,omitempty"`
}

// Release removes a claim whose holder certainly did not dispatch the request.
type Release struct {
	Org   core.OrgName        `cbor:"1,keyasint"`
	Key   core.IdempotencyKey `cbor:"2,keyasint"`
	Claim core.Offset         `cbor:"3,keyasint"`
}

// SnapshotChunk is one chunk of the encoded state at Offset. Hash is the hash
// of the whole encoded state.
type SnapshotChunk struct {
	Offset core.Offset `cbor:"1,keyasint"`
	Hash   uint64      `cbor:"2,keyasint"`
	Part   int         `cbor:"3,keyasint"`
	Parts  int         `cbor:"4,keyasint"`
	Data   []byte      `cbor:"5,keyasint"`
}

// Rule enables a rule of the state machine for all later records.
type Rule struct {
	Number uint16 `cbor:"1,keyasint"`
}

// Limits of a batch of this version, and of the header of any version.
const (
	maxRecords  = 1 << 16
	maxNesting  = 16
	maxElements = 1<<31 - 1
	maxLevels   = 1<<16 - 1
)

// header is the part of a batch that every version has.
type header struct {
	Version uint16 `cbor:"1,keyasint"`
}

var (
	encMode    = mustEncMode()
	headerMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxLevels})
	batchMode  = mustDecMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxArrayElements:  maxRecords,
		MaxNestedLevels:   maxNesting,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	})
)

func mustEncMode() cbor.EncMode {
	opt := cbor.CoreDetEncOptions()
	opt.Time = cbor.TimeRFC3339NanoUTC
	enc, err := opt.EncMode()
	if err != nil {
		panic(err)
	}
	return enc
}

func mustDecMode(opt cbor.DecOptions) cbor.DecMode {
	dec, err := opt.DecMode()
	if err != nil {
		panic(err)
	}
	return dec
}

// Encode returns the deterministic encoding of the batch. It panics if the
// batch cannot be encoded, which no value of these types causes. Decode may
// reject the result if a string is not UTF-8 or a time is outside the range of
// RFC 3339.
func Encode(batch Batch) []byte {
	out, err := encMode.Marshal(batch)
	if err != nil {
		panic(err)
	}
	return out
}

// Decode decodes a batch. Its error carries core.CodeRecordBad if data is not
// a batch or was written by a newer version; in the second case the returned
// batch has that version. Fields that the stated version does not define are
// an error: a program that ignored them would interpret the batch differently
// from its writer.
func Decode(data []byte) (Batch, error) {
	var hdr header
	err := headerMode.Unmarshal(data, &hdr)
	if err != nil {
		return Batch{}, core.Errorf(core.CodeRecordBad, "log entry is not a batch: %v", err)
	}
	if hdr.Version == 0 {
		return Batch{}, core.Errorf(core.CodeRecordBad, "log entry states no record version")
	}
	if hdr.Version > Version {
		return Batch{Version: hdr.Version}, core.Errorf(core.CodeRecordBad, "record version %d is newer than %d", hdr.Version, Version)
	}
	var batch Batch
	err = batchMode.Unmarshal(data, &batch)
	if err != nil {
		return Batch{}, core.Errorf(core.CodeRecordBad, "log entry is not a batch of version %d: %v", hdr.Version, err)
	}
	for _, rec := range batch.Records {
		if rec.Claim != nil && !fitsRFC3339(rec.Claim.Issued) {
			return Batch{}, core.Errorf(core.CodeRecordBad, "record %q has an issue time that can't be written again", rec.ID)
		}
	}
	return batch, nil
}

// fitsRFC3339 reports whether the time can be written in the format of RFC
// 3339.
func fitsRFC3339(at time.Time) bool {
	year := at.UTC().Year()
	return year >= 0 && year <= 9999
}
