package blame

import (
	"encoding/binary"
	"errors"
	"time"
)

const (
	// MaxReportBytes is the size of the largest report, which fits a packet of the network.
	MaxReportBytes = 1200

	// answerTransit is added to the age of an answer with each hop. It is longer than a
	// message takes, so that no answer becomes younger by being passed on.
	answerTransit = 50 * time.Millisecond
	// maxAge is the greatest age in a report. Greater ones come from a damaged report.
	maxAge = 24 * time.Hour
)

// Encode returns the wire form of a report: the number of parts; of each part its
// hash and the age of its answer in ms plus one, 0 if it has none; then for each crash
// the engine, the age in ms, the number of parts and their places in the list, and, if it is
// known and at most commonLoss, how long the call ran in ms, in place of the engine of a crash
// without age and parts, which earlier versions ignore. Crashes without parts are left out. Crashes
// that do not fit into maxBytes are left out, with the answers of their parts. If not even
// the first fits, the report may take MaxReportBytes. Answers to parts of no crash take the
// room that is left.
func Encode(r Report, maxBytes int) []byte {
	answers := make(map[Part]time.Duration, len(r.Answers))
	for _, a := range r.Answers {
		answers[a.Part] = a.Age
	}
	places := map[Part]int{}
	var parts, crashes []byte
	for _, c := range r.Crashes {
		if len(c.Parts) == 0 {
			continue
		}
		nextParts, added := parts, []Part(nil)
		next := binary.BigEndian.AppendUint32(crashes, c.Engine)
		next = binary.AppendUvarint(next, ageMs(c.Age))
		next = binary.AppendUvarint(next, uint64(len(c.Parts)))
		for _, part := range c.Parts {
			if _, listed := places[part]; !listed {
				places[part] = len(places)
				added = append(added, part)
				nextParts = appendPart(nextParts, part, answers)
			}
			next = binary.AppendUvarint(next, uint64(places[part]))
		}
		if c.Ran > 0 && c.Ran <= commonLoss {
			next = binary.BigEndian.AppendUint32(next, uint32(max(1, c.Ran.Milliseconds())))
			next = append(next, 0, 0)
		}
		size := binary.MaxVarintLen16 + len(nextParts) + len(next)
		if len(crashes) == 0 && size > maxBytes {
			maxBytes = MaxReportBytes
		}
		if size > maxBytes {
			for _, part := range added {
				delete(places, part)
			}
			continue
		}
		parts, crashes = nextParts, next
	}
	inCrashes := r.crashParts()
	for _, a := range r.Answers {
		next := appendPart(parts, a.Part, answers)
		if !inCrashes[a.Part] && binary.MaxVarintLen16+len(next)+len(crashes) <= maxBytes {
			places[a.Part], parts = len(places), next
		}
	}
	raw := binary.AppendUvarint(nil, uint64(len(places)))
	return append(append(raw, parts...), crashes...)
}

func appendPart(raw []byte, part Part, answers map[Part]time.Duration) []byte {
	raw = binary.BigEndian.AppendUint64(raw, uint64(part))
	if age, answered := answers[part]; answered {
		return binary.AppendUvarint(raw, ageMs(age+answerTransit)+1)
	}
	return append(raw, 0)
}

func ageMs(age time.Duration) uint64 {
	return uint64(min(max(0, age), maxAge).Milliseconds())
}

var errInvalid = errors.New("crash report is invalid")

// Decode is the inverse of Encode.
func Decode(raw []byte) (Report, error) {
	d := decoder{raw: raw}
	var r Report
	var parts []Part
	for range d.uvarint(uint64(len(raw) / 9)) { // a part takes at least 9 bytes
		part := Part(d.uint64())
		parts = append(parts, part)
		if age := d.uvarint(ageMs(maxAge) + 1); age > 0 {
			r.Answers = append(r.Answers, Answer{Part: part, Age: time.Duration(age-1) * time.Millisecond})
		}
	}
	for len(d.raw) > 0 && !d.failed {
		c := Crash{Engine: d.uint32(), Age: time.Duration(d.uvarint(ageMs(maxAge))) * time.Millisecond}
		for range d.uvarint(uint64(len(parts))) {
			if place := d.uvarint(uint64(max(0, len(parts)-1))); !d.failed {
				c.Parts = append(c.Parts, parts[place])
			}
		}
		last := len(r.Crashes) - 1
		switch {
		case len(c.Parts) > 0:
			r.Crashes = append(r.Crashes, c)
		case last >= 0 && c.Age == 0:
			r.Crashes[last].Ran = min(commonLoss, time.Duration(c.Engine)*time.Millisecond)
		}
	}
	if d.failed || len(raw) == 0 {
		return Report{}, errInvalid
	}
	return r, nil
}

// decoder reads numbers. After one that is truncated or too large it returns zeros.
type decoder struct {
	raw    []byte
	failed bool
}

func (d *decoder) bytes(n int) []byte {
	if d.failed || len(d.raw) < n {
		d.failed = true
		return make([]byte, n)
	}
	b := d.raw[:n]
	d.raw = d.raw[n:]
	return b
}

func (d *decoder) uint32() uint32 { return binary.BigEndian.Uint32(d.bytes(4)) }
func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.bytes(8)) }

func (d *decoder) uvarint(most uint64) uint64 {
	v, size := binary.Uvarint(d.raw)
	if d.failed || size <= 0 || v > most {
		d.failed = true
		return 0
	}
	d.raw = d.raw[size:]
	return v
}
