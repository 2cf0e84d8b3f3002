package logger

import (
	"github.com/sirupsen/logrus"
)

// Format is how lines are written.
type Format string

// The formats. The zero value means JSON.
const (
	// JSON is one object a line.
	JSON Format = "json"
	// Logfmt is key=value pairs.
	Logfmt Format = "logfmt"
)

// timestamps of lines have milliseconds: what a process decides in one of them
// keeps its order in the log.
const timestamps = "2006-01-02T15:04:05.000Z07:00"

// Valid reports whether a format is one of those above.
func (format Format) Valid() bool {
	return format == "" || format == JSON || format == Logfmt
}

// Formatter returns the formatter of a known format.
func (format Format) Formatter() logrus.Formatter {
	if format == Logfmt {
		return &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestamps}
	}
	return &logrus.JSONFormatter{TimestampFormat: timestamps}
}
