package learn

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core/site"
)

const (
	// MaxReport is the largest size of a report in bytes.
	MaxReport = maxEntries * entrySize
	// maxEntries limits the servers in a report. All nodes that send to a server with
	// a suspect estimate report it, the others take turns.
	maxEntries = 24
	// entrySize is the size of the encoding of a server.
	entrySize = 13
	// limitScale is the resolution of a limit in a report, timeScale that of a
	// logarithmic time. countScale is that of a number of samples: a node of many has
	// less than one recent sample of a server. Larger numbers are cut off.
	limitScale, timeScale, countScale = 16, 12, 8
	// timeOffset is added to logarithmic times, which may be negative.
	timeOffset = 4
)

// runKey returns the number of a server process in reports. Two of 900 servers share one
// with a probability of 0.01 %; their samples are then taken together.
func runKey(run site.ServerRun) uint32 {
	var start [8]byte
	binary.LittleEndian.PutUint64(start[:], uint64(run.StartMillis))
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(run.ID)
	_, _ = hash.Write(start[:])
	return uint32(hash.Sum64())
}

// entry is what a node reports of a server: its own samples, and the limit that it
// estimates.
type entry struct {
	key     uint32
	samples samples
	limit   float64
}

// appendEntry appends the encoding of an entry.
func appendEntry(raw []byte, ent *entry) []byte {
	raw = binary.LittleEndian.AppendUint32(raw, ent.key)
	raw = appendChannel(raw, &ent.samples.firsts)
	raw = appendChannel(raw, &ent.samples.gaps)
	mean := 0.0
	if ent.samples.timed > 0 {
		mean = ent.samples.time/ent.samples.timed + timeOffset
		raw = append(raw, max(1, toByte(mean*timeScale)))
	} else {
		raw = append(raw, 0)
	}
	return binary.LittleEndian.AppendUint16(raw, uint16(min(math.MaxUint16, math.Round(ent.limit*limitScale))))
}

// appendChannel appends the number of samples, the fraction of late ones and the mean load
// of a channel.
func appendChannel(raw []byte, chn *channel) []byte {
	return append(raw, toByte(chn.count*countScale), toByte(chn.lateShare()*math.MaxUint8), toByte(chn.meanLoad()))
}

// toByte rounds a number to the range of a byte.
func toByte(num float64) byte { return byte(min(math.MaxUint8, max(0, math.Round(num)))) }

// decodeEntry decodes the first entry of raw. Any bytes are an entry.
func decodeEntry(raw []byte) entry {
	out := entry{key: binary.LittleEndian.Uint32(raw)}
	out.samples.firsts = decodeChannel(raw[4:])
	out.samples.gaps = decodeChannel(raw[7:])
	if raw[10] > 0 {
		out.samples.timed = max(out.samples.firsts.count, out.samples.gaps.count)
		out.samples.time = (float64(raw[10])/timeScale - timeOffset) * out.samples.timed
	}
	out.limit = float64(binary.LittleEndian.Uint16(raw[11:])) / limitScale
	return out
}

// decodeChannel decodes a channel. The load is that of the late samples if there are any.
func decodeChannel(raw []byte) channel {
	count := float64(raw[0]) / countScale
	late := count * float64(raw[1]) / math.MaxUint8
	return channel{count: count, late: late, load: count * float64(raw[2]), lateLoad: late * float64(raw[2])}
}
