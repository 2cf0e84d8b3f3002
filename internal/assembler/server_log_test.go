package assembler

import (
	"net/http"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
)

func TestErrorsOfServersAreLogged(t *testing.T) {
	// Guards against errors of servers that go to standard error, which may block and isn't gathered with the log.
	direct, release := directOnLoopback(t)
	defer release()
	log, lines := logtest.NewNullLogger()
	direct.log = log
	server := direct.callerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("odd handler") }))
	listener := direct.listeners.frontend
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	Convey("the log has the panic and its stack", t, func() {
		So(statusAt(t, direct.Address()), ShouldEqual, 0)
		So(lines.LastEntry(), ShouldNotBeNil)
		So(lines.LastEntry().Data[labelCause], ShouldContainSubstring, "odd handler")
		So(lines.LastEntry().Data[labelCause], ShouldContainSubstring, "server_log_test.go")
	})
}
