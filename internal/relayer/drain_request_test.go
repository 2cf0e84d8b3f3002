package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// upload is a request whose body arrives piece by piece.
type upload struct {
	conn net.Conn
	read *bufio.Reader
}

// begin sends the head of a request to a host with the framing of its body.
func begin(t *testing.T, address, host, framing string) upload {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: "+host+"\r\nId: r-1\r\n"+framing+"\r\n\r\n")
	return upload{conn: conn, read: bufio.NewReader(conn)}
}

// status returns the status and the Retry-After of the answer, or zero if none comes in time.
func (upload upload) status(wait timekeeper.Span) (status int, retryAfter string) {
	_ = upload.conn.SetReadDeadline(timekeeper.In(wait))
	response, err := http.ReadResponse(upload.read, nil)
	if err != nil {
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

func TestARefusalReachesACallerThatIsStillSending(t *testing.T) {
	// Guards against refusals that are lost when the connection is reset under a body on its way.
	const pieces, piece = 20, 64 << 10
	none := func(net.Conn, string) {}
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d", pieces*piece), "Transfer-Encoding: chunked"} {
		Convey(framing, t, func() {
			entry, _ := endlessEntry(t, twoReplicas(t, none, none), router.Route{Kind: router.Once}, Call{Deadline: timekeeper.Minute})
			front := httptest.NewServer(entry)
			defer front.Close()
			one := begin(t, front.Listener.Addr().String(), "nowhere.example", framing)
			began := timekeeper.Steady().Now()
			for range pieces {
				text := strings.Repeat("x", piece)
				if strings.HasPrefix(framing, "Transfer") {
					text = fmt.Sprintf("%x\r\n%s\r\n", piece, text)
				}
				_, err := io.WriteString(one.conn, text)
				So(err, ShouldBeNil)
				_ = timekeeper.Steady().Sleep(t.Context(), 60)
			}
			So(timekeeper.Steady().Now().Since(began), ShouldBeGreaterThan, requestDrainTimeout)
			if strings.HasPrefix(framing, "Transfer") {
				_, _ = io.WriteString(one.conn, "0\r\n\r\n")
			}
			status, _ := one.status(timekeeper.Second)
			So(status, ShouldEqual, http.StatusNotFound)
		})
	}
}
