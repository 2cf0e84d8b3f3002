package logger

import (
	"github.com/sirupsen/logrus"
)

// Format is the encoding of log lines.
type Format string

// The formats. The zero value means JSON.
const (
	// JSON writes one object per line.
	JSON Format = "json"
	// Logfmt writes key=value pairs.
	Logfmt Format = "logfmt"
)

// timestampFormat is RFC 3339 with milliseconds. Lines of the same millisecond
// keep the order in which they were logged.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// Valid reports whether format is empty or one of the constants above.
func (format Format) Valid() bool {
	return format == "" || format == JSON || format == Logfmt
}

// Formatter returns the formatter of a valid format.
func (format Format) Formatter() logrus.Formatter {
	if format == Logfmt {
		return &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat}
	}
	return &logrus.JSONFormatter{TimestampFormat: timestampFormat}
}
