package validator

import (
	"net"
	"net/http"
)

// Transport is a http.Transport that returns an Error for an answer that isn't whole or valid: from
// RoundTrip, or from reading the body.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport. The given one isn't shared and may be changed before the first
// request.
func NewTransport(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
		// net/http doesn't use HTTP/2 by default with a dial function.
		transport.ForceAttemptHTTP2 = true
	}
	transport.DialContext = DialContext(dial)
	return &Transport{Transport: transport}
}

// RoundTrip sends a request and returns the head of its answer.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := transport.Transport.RoundTrip(request)
	if err != nil || isHTTP2(response) {
		return response, err
	}
	if err := CheckFinalHead(response); err != nil {
		_ = response.Body.Close()
		// The connection of an answer without a body is idle by now.
		transport.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// isHTTP2 reports whether an answer came by HTTP/2, whose frames net/http checks.
func isHTTP2(response *http.Response) bool {
	return response.TLS != nil && response.TLS.NegotiatedProtocol == "h2"
}
