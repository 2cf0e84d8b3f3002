package validator

import "fmt"

// Part is a part of an answer.
type Part string

// End is the end of an answer: its connection was reset before.
const End Part = "end"

// maxText bounds what an Error quotes of an answer, in bytes.
const maxText = 64

// Error is the error of an answer that isn't whole, or that HTTP/1.1 doesn't allow. The connection
// can't carry another exchange.
type Error struct {
	// Part is the first part that is broken.
	Part Part
	// Text is what was sent as that part; it is empty if Part is End.
	Text string
	// Cause is why a connection ended, nil if that isn't known.
	Cause error
}

// Error names the part and its fault.
func (broken Error) Error() string {
	if broken.Part != End {
		return fmt.Sprintf("the answer is invalid: %s %q", broken.Part, broken.Text[:min(len(broken.Text), maxText)])
	}
	text := "the connection was reset before the end of the answer"
	if broken.Cause != nil {
		text += ": " + broken.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (broken Error) Unwrap() error { return broken.Cause }
