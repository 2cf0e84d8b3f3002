package logger

import (
	"bytes"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
)

func TestFormats(t *testing.T) {
	tests := []struct {
		format Format
		valid  bool
		line   string
	}{
		{"", true, `"msg":"replica listed"`},
		{JSON, true, `"msg":"replica listed"`},
		{Logfmt, true, `msg="replica listed"`},
		{"xml", false, `"msg":"replica listed"`},
	}
	for _, test := range tests {
		Convey(string(test.format), t, func() {
			var out bytes.Buffer
			log := logrus.New()
			log.SetOutput(&out)
			log.SetFormatter(test.format.Formatter())
			log.WithField("replica", "i-1").Info("replica listed")
			So(test.format.Valid(), ShouldEqual, test.valid)
			So(out.String(), ShouldContainSubstring, test.line)
		})
	}
}

// BenchmarkLine measures what a request pays for a log line with the fields of a placement.
func BenchmarkLine(b *testing.B) {
	for _, format := range []Format{JSON, Logfmt} {
		b.Run(string(format), func(b *testing.B) {
			log := logrus.New()
			queue, release := NewQueue(io.Discard, formatDropped)
			defer release(nil)
			log.SetOutput(queue)
			log.SetFormatter(format.Formatter())
			b.ReportAllocs()
			for b.Loop() {
				log.WithFields(logrus.Fields{
					"request-id": "9c41d07be2a35f68", "replica": "i-7f3a91c2", "service": "planner", "route": "rebuild",
					"version": 12, "rank": 12, "uncached": 580, "held": 4, "candidates": 9, "expected-ms": 15, "waited-ms": 0,
				}).Info("request placed")
			}
		})
	}
}
