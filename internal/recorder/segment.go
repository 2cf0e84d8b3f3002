package recorder

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// Segment is a range of consecutive records, sealed for the object store.
type Segment struct {
	Origin Origin
	First  uint64
	Last   uint64
	// Link is the link after the last record.
	Link Link
	Body []byte
}

// Name returns the segment's name in the object store.
func (segment Segment) Name() string {
	return segment.Origin.ObjectName(segment.First)
}

// Records returns how many records the segment holds.
func (segment Segment) Records() uint64 {
	return segment.Last - segment.First + 1
}

const (
	magic = "trefoilseam-record 1\n"
	// linkPrefixBytes is how many bytes of its link precede each record. Findings
	// call these bytes the record's mark.
	linkPrefixBytes = 8
	// maxTextBytes bounds a segment after decompression, so that a forged one
	// can't make the reader allocate without bound.
	maxTextBytes = 16 << 20
)

// header is the first line of a segment.
type header struct {
	Origin
	First    uint64 `json:"first"`
	Previous string `json:"previous"`
}

// builder collects the lines of the open segment.
type builder struct {
	origin Origin
	first  uint64
	text   bytes.Buffer
}

func newBuilder(origin Origin, first uint64, previous Link) *builder {
	lines := &builder{origin: origin, first: first}
	line, err := json.Marshal(header{Origin: origin, First: first, Previous: hex.EncodeToString(previous[:])})
	if err != nil {
		panic(unencodable)
	}
	lines.text.Write(line)
	lines.text.WriteByte('\n')
	return lines
}

func (lines *builder) size() int {
	return lines.text.Len()
}

func (lines *builder) add(line []byte, link Link) {
	lines.text.WriteString(hex.EncodeToString(link[:linkPrefixBytes]))
	lines.text.WriteByte(' ')
	lines.text.Write(line)
	lines.text.WriteByte('\n')
}

func (lines *builder) seal(last uint64, link Link) Segment {
	lines.text.WriteString(hex.EncodeToString(link[:]))
	lines.text.WriteByte('\n')
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		panic(invalidLevel)
	}
	_, _ = writer.Write(lines.text.Bytes())
	_ = writer.Close()
	sum := sha256.Sum256(packed.Bytes())
	body := append([]byte(magic), sum[:]...)
	return Segment{
		Origin: lines.origin,
		First:  lines.first,
		Last:   last,
		Link:   link,
		Body:   append(body, packed.Bytes()...),
	}
}

const invalidLevel = "recorder: unknown level of compression"

// Line is one record of a decoded segment.
type Line struct {
	Record
	// StoredLinkPrefix is the link prefix that was stored with the record.
	StoredLinkPrefix string
	// Bytes is the encoded record, over which the link is computed.
	Bytes []byte
}

// Decoded is the content of a segment's body. Only the checksum of the body has
// been verified.
type Decoded struct {
	Origin   Origin
	First    uint64
	Previous Link
	Lines    []Line
	Link     Link
}

// Decode parses a segment's body. It returns an error when the checksum or the
// format is wrong.
func Decode(body []byte) (Decoded, error) {
	rest, ok := bytes.CutPrefix(body, []byte(magic))
	if !ok || len(rest) < sha256.Size {
		return Decoded{}, eris.New("not a segment")
	}
	if sha256.Sum256(rest[sha256.Size:]) != [sha256.Size]byte(rest[:sha256.Size]) {
		return Decoded{}, eris.New("the body doesn't match its sum")
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(rest[sha256.Size:])), maxTextBytes+1))
	if err != nil {
		return Decoded{}, eris.Wrap(err, "decompress")
	}
	if len(text) > maxTextBytes {
		return Decoded{}, eris.New("the segment is longer than any that a recorder writes")
	}
	return decodeText(text)
}

func decodeText(text []byte) (Decoded, error) {
	lines := bytes.Split(text, []byte("\n"))
	const minLines = 3
	if len(lines) < minLines || len(lines[len(lines)-1]) > 0 {
		return Decoded{}, eris.New("the segment is cut short")
	}
	var parsed header
	if err := json.Unmarshal(lines[0], &parsed); err != nil {
		return Decoded{}, eris.Wrap(err, "header")
	}
	decoded := Decoded{Origin: parsed.Origin, First: parsed.First}
	if !parseLink(parsed.Previous, &decoded.Previous) || !parseLink(string(lines[len(lines)-2]), &decoded.Link) {
		return Decoded{}, eris.New("a link is malformed")
	}
	for _, text := range lines[1 : len(lines)-2] {
		line, err := decodeLine(text)
		if err != nil {
			return Decoded{}, err
		}
		decoded.Lines = append(decoded.Lines, line)
	}
	return decoded, nil
}

func decodeLine(text []byte) (Line, error) {
	prefix, record, ok := bytes.Cut(text, []byte(" "))
	if !ok {
		return Line{}, eris.New("a record without its mark")
	}
	line := Line{StoredLinkPrefix: string(prefix), Bytes: record}
	return line, eris.Wrap(json.Unmarshal(record, &line.Record), "record")
}

func parseLink(text string, link *Link) bool {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(link) {
		return false
	}
	copy(link[:], raw)
	return true
}

// LinkPrefix returns the start of a record's link, as it is stored before the
// record.
func LinkPrefix(link Link) string {
	return hex.EncodeToString(link[:linkPrefixBytes])
}
