package timekeeper

import (
	"fmt"
	"time"
)

// Instant is a point in time, in milliseconds since the Unix epoch.
type Instant int64

// Span is a duration in milliseconds. It may be negative.
type Span int64

// Common spans.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
	Hour             = 60 * Minute
)

// Add returns the instant span after at.
func (at Instant) Add(span Span) Instant {
	return at + Instant(span)
}

// Since returns the span from earlier to at; it is negative when earlier is later.
func (at Instant) Since(earlier Instant) Span {
	return Span(at - earlier)
}

// Before reports whether at is strictly before other.
func (at Instant) Before(other Instant) bool {
	return at < other
}

// Time returns at as a time.Time in UTC.
func (at Instant) Time() time.Time {
	return time.UnixMilli(int64(at)).UTC()
}

// String returns at in RFC 3339 with milliseconds.
func (at Instant) String() string {
	return at.Time().Format("2006-01-02T15:04:05.000Z07:00")
}

// FromTime returns moment as an Instant, truncated to milliseconds.
func FromTime(moment time.Time) Instant {
	return Instant(moment.UnixMilli())
}

// Duration returns span as a time.Duration.
func (span Span) Duration() time.Duration {
	return time.Duration(span) * time.Millisecond
}

// String formats span as a time.Duration does, such as "1.5s".
func (span Span) String() string {
	return span.Duration().String()
}

// MarshalText formats span as a time.Duration does.
func (span Span) MarshalText() ([]byte, error) {
	return []byte(span.String()), nil
}

// UnmarshalText parses a span such as "250ms" or "2m". It returns an error if text is
// not a duration or not a whole number of milliseconds.
func (span *Span) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"2m\"", text)
	}
	if duration%time.Millisecond != 0 {
		return fmt.Errorf("%q is not a whole number of milliseconds", text)
	}
	*span = Span(duration / time.Millisecond)
	return nil
}
