package validator

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswersToATransport(t *testing.T) {
	// Guards against part of an answer, or bytes that are none, that a client of net/http takes for an
	// answer.
	const long = 8 << 20
	tests := []struct {
		name, answer string
		length       int
		reset        bool
		part         Part
	}{
		{"sound", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 0, false, ""},
		{"sound, to the end of the connection", "HTTP/1.1 200 OK\r\n\r\nbody", 0, false, ""},
		{"reset during the upload", "HTTP/1.1 200 OK\r\n\r\nbody", long, true, End},
		{"reset after a short request", "HTTP/1.1 200 OK\r\n\r\nbody", 0, true, End},
		{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody", 0, false, Status},
		{"status 000 without a body", "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n", 0, false, Status},
		{"status 600", "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\nbody", 0, false, Status},
		{"a switch of protocols", "HTTP/1.1 101 Switching\r\n\r\nbody", 0, false, Status},
		{"a length behind a blank", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbodymore", 0, false, FieldName},
		{"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\nContent-Length: 4\r\n\r\nbody", 0, false, Reason},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			server := closingServer(func(*http.Request) string { return test.answer }, test.reset)
			defer server.Close()
			// The server closes each connection without saying so first. Reusing one may fail.
			transport := NewTransport(&http.Transport{DisableKeepAlives: true})
			defer transport.CloseIdleConnections()
			for range 10 {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, bytes.NewReader(make([]byte, test.length)))
				So(err, ShouldBeNil)
				body, err := roundTrip(transport, request)
				if test.part == "" {
					So(err, ShouldBeNil)
					So(body, ShouldEqual, "body")
					continue
				}
				So(err, ShouldNotBeNil)
				var broken Error
				if eris.As(err, &broken) {
					So(broken.Part, ShouldEqual, test.part)
				}
			}
		})
	}
}

// closingServer answers with a text and closes or resets the connection.
func closingServer(answer func(r *http.Request) string, reset bool) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer(r))
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}))
}

func TestHeadsThatEndInTheMiddle(t *testing.T) {
	// Guards against a head that its sender didn't end and that a client of net/http takes for an answer.
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n",
	}
	for _, head := range heads {
		for _, reset := range []bool{false, true} {
			Convey(fmt.Sprintf("reset: %v, %q", reset, head), t, func() {
				server := closingServer(func(r *http.Request) string {
					cut, _ := strconv.Atoi(r.URL.Path[1:])
					return head[:cut]
				}, reset)
				defer server.Close()
				transport := NewTransport(&http.Transport{})
				defer transport.CloseIdleConnections()
				for cut := range len(head) {
					request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("%s/%d", server.URL, cut), http.NoBody)
					So(err, ShouldBeNil)
					_, err = roundTrip(transport, request)
					So(err, ShouldNotBeNil)
				}
			})
		}
	}
}

func TestAnswersOverTLS(t *testing.T) {
	// Guards against sound answers of another version of the protocol that are rejected.
	for _, http2 := range []bool{false, true} {
		Convey(fmt.Sprintf("HTTP/2: %v", http2), t, func() {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }))
			server.EnableHTTP2 = http2
			server.StartTLS()
			defer server.Close()
			roots := x509.NewCertPool()
			roots.AddCert(server.Certificate())
			transport := NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}})
			defer transport.CloseIdleConnections()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
			So(err, ShouldBeNil)
			body, err := roundTrip(transport, request)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, map[bool]string{false: "HTTP/1.1", true: "HTTP/2.0"}[http2])
		})
	}
}

// roundTrip sends a request and returns the body of its answer.
func roundTrip(transport http.RoundTripper, request *http.Request) (string, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
