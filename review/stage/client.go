package stage

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Client is a client that keeps its connection for many requests. It sends each request once.
type Client struct {
	Front, Host, Key string
	Platform         *Platform

	conn   net.Conn
	reader *bufio.Reader
	// fresh reports that no request was sent on the connection before.
	fresh bool
}

// Call is a request of a client.
type Call struct {
	ID, Method, Path string
	Body             []byte
	Deadline         timekeeper.Span
	// Head holds further header lines, each with its end.
	Head string
	// Send writes the body; nil writes it at once.
	Send func(conn net.Conn, body []byte) error
}

// Outcome is how a call ended.
type Outcome struct {
	// Status is zero if there was no answer.
	Status int
	// Kept reports whether the connection had been used before, Partial whether a part of the answer
	// came before the connection ended, and Sent whether the whole request was sent.
	Kept, Partial, Sent bool
	Signed              bool
	RetryAfter          timekeeper.Span
	Body                string
	Cause               error
}

// Do sends a call and waits for its answer.
func (client *Client) Do(call Call) (outcome Outcome) {
	record := client.Platform.Record
	defer func() {
		record.Add("answer %s status=%d signed=%t partial=%t kept=%t cause=%v", call.ID, outcome.Status, outcome.Signed, outcome.Partial, outcome.Kept, outcome.Cause)
	}()
	if client.conn == nil {
		conn, err := (&net.Dialer{Timeout: timekeeper.Second.Duration()}).DialContext(context.Background(), "tcp", client.Front)
		if err != nil {
			outcome.Cause = err
			return outcome
		}
		client.conn, client.reader, client.fresh = conn, bufio.NewReader(conn), true
	}
	outcome.Kept, client.fresh = !client.fresh, false
	_ = client.conn.SetDeadline(timekeeper.In(call.Deadline + timekeeper.Second))
	record.Add("send %s %s %s to %s body=%d", call.ID, call.Method, call.Path, client.Front, len(call.Body))
	if outcome.Cause = client.send(call); outcome.Cause != nil {
		client.Close()
		return outcome
	}
	outcome.Sent = true
	client.receive(call, &outcome)
	return outcome
}

func (client *Client) send(call Call) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n",
		call.Method, call.Path, client.Host, HeaderID, call.ID, HeaderDeadline, int64(call.Deadline), HeaderKey, client.Key, len(call.Body), call.Head)
	if call.Send == nil {
		_, err := client.conn.Write(append([]byte(head), call.Body...))
		return err
	}
	if _, err := io.WriteString(client.conn, head); err != nil {
		return err
	}
	return call.Send(client.conn, call.Body)
}

func (client *Client) receive(call Call, outcome *Outcome) {
	if _, err := client.reader.Peek(1); err != nil {
		outcome.Cause = err
		client.Close()
		return
	}
	outcome.Partial = true
	response, err := http.ReadResponse(client.reader, &http.Request{Method: call.Method})
	if err != nil {
		outcome.Cause = err
		client.Close()
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		outcome.Cause = err
		client.Close()
		return
	}
	outcome.Partial, outcome.Status, outcome.Body = false, response.StatusCode, string(body)
	outcome.Signed = response.Header.Get(HeaderSignature) != ""
	if seconds, err := strconv.ParseFloat(strings.TrimSpace(response.Header.Get(headerRetryAfter)), 64); err == nil {
		outcome.RetryAfter = timekeeper.Span(seconds * float64(timekeeper.Second))
	}
	if response.Close {
		client.Close()
	}
}

// Close closes the connection.
func (client *Client) Close() {
	if client.conn != nil {
		_ = client.conn.Close()
		client.conn = nil
	}
}
