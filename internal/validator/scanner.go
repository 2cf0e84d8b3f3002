package validator

import (
	"bytes"
	"strings"
)

// Framing is the field of a head that says where the body ends.
const Framing Part = "framing"

const fieldTransferEncoding = "transfer-encoding"

// statusBytes is how much of a status line tells the version and whether the answer is an interim one:
// "HTTP/1.1 1".
const statusBytes = len("HTTP/1.1 1")

// headScanner finds a Transfer-Encoding in heads of HTTP/1.0, whose framing is faulty then (RFC 9112, section
// 6.1). net/http drops that field, and takes the sizes of the chunks for a part of the body.
type headScanner struct {
	state scanState
	// line is the beginning of the line that is read, and length the length of the line up to now.
	line    [len(fieldTransferEncoding) + 1]byte
	length  int
	interim bool
	// isHTTP10 reports whether the head is of HTTP/1.0.
	isHTTP10 bool
}

// scanState is what a headScanner reads.
type scanState uint8

const (
	scanNothing scanState = iota
	scanStatus
	scanFields
)

// begin makes the scanner expect a head, unless it is in the middle of one.
func (scanner *headScanner) begin() {
	if scanner.state == scanNothing || scanner.state == scanStatus && scanner.length == 0 {
		*scanner = headScanner{state: scanStatus}
	}
}

// scan reads what follows, and reports whether a field was found that HTTP/1.0 doesn't have.
func (scanner *headScanner) scan(text []byte) (found bool) {
	for scanner.state != scanNothing && len(text) > 0 {
		end := bytes.IndexByte(text, '\n')
		part := text
		if end >= 0 {
			part = text[:end]
		}
		if scanner.length < len(scanner.line) {
			copy(scanner.line[scanner.length:], part)
		}
		scanner.length += len(part)
		if scanner.state == scanStatus && scanner.length >= statusBytes {
			scanner.readStatus()
		}
		if end < 0 {
			return false
		}
		if scanner.endLine() {
			return true
		}
		text = text[end+1:]
	}
	return false
}

// readStatus reads a status line of which enough has come.
func (scanner *headScanner) readStatus() {
	version, status, _ := strings.Cut(string(scanner.line[:statusBytes]), " ")
	scanner.isHTTP10, scanner.interim = version == "HTTP/1.0", status == "1"
	scanner.state = scanFields
	if !scanner.isHTTP10 && !scanner.interim {
		scanner.state = scanNothing
	}
}

// endLine ends a line, and reports whether it is a Transfer-Encoding of HTTP/1.0.
func (scanner *headScanner) endLine() bool {
	line := bytes.TrimRight(scanner.line[:min(scanner.length, len(scanner.line))], "\r")
	scanner.length = 0
	switch {
	case scanner.state == scanStatus:
		// The line is too short for a status line.
		scanner.state = scanNothing
	case len(line) == 0 && scanner.interim:
		*scanner = headScanner{state: scanStatus}
	case len(line) == 0:
		scanner.state = scanNothing
	default:
		name, _, isField := bytes.Cut(line, []byte(":"))
		return isField && scanner.isHTTP10 && strings.EqualFold(string(name), fieldTransferEncoding)
	}
	return false
}
