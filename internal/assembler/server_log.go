package assembler

import (
	stdlog "log"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// serverLog is the output of the standard logger of an http.Server. It writes lines to the log of the process:
// standard error may block, and a server logs while it holds a connection.
type serverLog struct {
	log   logrus.FieldLogger
	lines tally.Counter
}

// newServerLog returns a standard logger that writes to log and counts its lines.
func newServerLog(log logrus.FieldLogger, scope tally.Scope) *stdlog.Logger {
	return stdlog.New(serverLog{log: log, lines: scope.Counter("server-errors")}, "", 0)
}

// Write logs one line.
func (server serverLog) Write(line []byte) (int, error) {
	server.lines.Inc(1)
	server.log.WithField(labelCause, strings.TrimSpace(string(line))).Error("HTTP server reports an error")
	return len(line), nil
}
