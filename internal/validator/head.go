package validator

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The parts of the head of an answer.
const (
	// Version is the version of the protocol.
	Version Part = "version"
	// Status is the status code.
	Status Part = "status"
	// Reason is the reason phrase.
	Reason Part = "reason"
	// FieldName is the name of a field of the header.
	FieldName Part = "field-name"
)

// The least and the greatest status code (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an Error if the head of an answer, as net/http has parsed it, is none of HTTP/1.1.
// It checks what net/http accepts and RFC 9112, sections 2.3, 4 and 5.1, don't allow; net/http rejects
// other values of fields and other framings.
func CheckHead(head *http.Response) error {
	switch {
	case head.ProtoMajor != 1:
		return Error{Part: Version, Text: head.Proto}
	case head.StatusCode < minStatus || head.StatusCode > maxStatus:
		return Error{Part: Status, Text: head.Status}
	case !httpguts.ValidHeaderFieldValue(head.Status):
		return Error{Part: Reason, Text: head.Status}
	}
	for name := range head.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return Error{Part: FieldName, Text: name}
		}
	}
	return nil
}

// CheckFinalHead is CheckHead for an answer that isn't followed by another one to the same request.
func CheckFinalHead(head *http.Response) error {
	if head.StatusCode < http.StatusOK {
		return Error{Part: Status, Text: head.Status}
	}
	return CheckHead(head)
}
