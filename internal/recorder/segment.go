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

// Segment is a run of records, sealed for the object store.
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
	// markBytes is how much of a link stands before each record.
	markBytes = 8
	// longestText bounds a segment after decompression, so that a forged one
	// can't make the reader allocate without bound.
	longestText = 16 << 20
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
	made := &builder{origin: origin, first: first}
	line, err := json.Marshal(header{Origin: origin, First: first, Previous: hex.EncodeToString(previous[:])})
	if err != nil {
		panic(unencodable)
	}
	made.text.Write(line)
	made.text.WriteByte('\n')
	return made
}

func (made *builder) size() int {
	return made.text.Len()
}

func (made *builder) add(line []byte, link Link) {
	made.text.WriteString(hex.EncodeToString(link[:markBytes]))
	made.text.WriteByte(' ')
	made.text.Write(line)
	made.text.WriteByte('\n')
}

func (made *builder) seal(last uint64, link Link) Segment {
	made.text.WriteString(hex.EncodeToString(link[:]))
	made.text.WriteByte('\n')
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		panic(badLevel)
	}
	_, _ = writer.Write(made.text.Bytes())
	_ = writer.Close()
	sum := sha256.Sum256(packed.Bytes())
	body := append([]byte(magic), sum[:]...)
	return Segment{
		Origin: made.origin,
		First:  made.first,
		Last:   last,
		Link:   link,
		Body:   append(body, packed.Bytes()...),
	}
}

const badLevel = "recorder: unknown level of compression"

// Line is one record of a decoded segment.
type Line struct {
	Record
	// StoredPrefix is the start of the link that was stored with the record.
	StoredPrefix string
	// Bytes are what the link is computed over.
	Bytes []byte
}

// Decoded is what a segment's body says. Nothing of it has been verified but
// the sum of the body.
type Decoded struct {
	Origin   Origin
	First    uint64
	Previous Link
	Lines    []Line
	Link     Link
}

// Decode reads a segment's body. It returns an error when the body is not
// exactly what the recorder stored.
func Decode(body []byte) (Decoded, error) {
	rest, ok := bytes.CutPrefix(body, []byte(magic))
	if !ok || len(rest) < sha256.Size {
		return Decoded{}, eris.New("not a segment")
	}
	if sha256.Sum256(rest[sha256.Size:]) != [sha256.Size]byte(rest[:sha256.Size]) {
		return Decoded{}, eris.New("the body doesn't match its sum")
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(rest[sha256.Size:])), longestText+1))
	if err != nil {
		return Decoded{}, eris.Wrap(err, "decompress")
	}
	if len(text) > longestText {
		return Decoded{}, eris.New("the segment is longer than any that a recorder writes")
	}
	return decodeText(text)
}

func decodeText(text []byte) (Decoded, error) {
	lines := bytes.Split(text, []byte("\n"))
	const fewest = 3
	if len(lines) < fewest || len(lines[len(lines)-1]) > 0 {
		return Decoded{}, eris.New("the segment is cut short")
	}
	var head header
	if err := json.Unmarshal(lines[0], &head); err != nil {
		return Decoded{}, eris.Wrap(err, "header")
	}
	decoded := Decoded{Origin: head.Origin, First: head.First}
	if !readLink(head.Previous, &decoded.Previous) || !readLink(string(lines[len(lines)-2]), &decoded.Link) {
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
	mark, record, ok := bytes.Cut(text, []byte(" "))
	if !ok {
		return Line{}, eris.New("a record without its mark")
	}
	line := Line{StoredPrefix: string(mark), Bytes: record}
	return line, eris.Wrap(json.Unmarshal(record, &line.Record), "record")
}

func readLink(text string, link *Link) bool {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(link) {
		return false
	}
	copy(link[:], raw)
	return true
}

// LinkPrefix returns the mark that stands before the record that a link ends with.
func LinkPrefix(link Link) string {
	return hex.EncodeToString(link[:markBytes])
}
