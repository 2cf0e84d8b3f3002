package storekeeper

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/limiter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// CallTimeout is the timeout of a call to the platform, so that calls to a slow store
// fail instead of blocking their callers.
const CallTimeout = 2 * timekeeper.Second

// maxAnswerBytes bounds an answer of the platform.
const maxAnswerBytes = 64 << 20

// Remote returns the platform at an HTTP address such as
// "http://127.0.0.1:7000", and a function that closes idle connections.
func Remote(address string) (Platform, func()) {
	client, release := limiter.Client(&http.Transport{MaxIdleConnsPerHost: 8})
	client.Timeout = CallTimeout.Duration()
	remote := remote{base: address, client: client}
	platform := Platform{
		Table:     Table{Get: remote.getRow, Scan: remote.scan, Commit: remote.commit, Era: remote.era},
		Objects:   Objects{Put: remote.put, Get: remote.get, List: remote.list},
		Directory: Directory{List: remote.instances},
	}
	return platform, release
}

type remote struct {
	base   string
	client *http.Client
}

func (remote remote) getRow(ctx context.Context, table, key string) (Row, error) {
	var row Row
	err := remote.read(ctx, "/table/row", url.Values{"table": {table}, "key": {key}}, &row)
	return row, err
}

func (remote remote) scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	query := url.Values{"table": {table}, "prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := remote.read(ctx, "/table/rows", query, &rows)
	return rows, err
}

func (remote remote) commit(ctx context.Context, writes []Write) error {
	body, err := json.Marshal(writes)
	if err != nil {
		return eris.Wrap(err, "encode writes")
	}
	_, err = remote.call(ctx, http.MethodPost, "/table/commit", nil, body)
	return err
}

func (remote remote) era(ctx context.Context) (uint64, error) {
	var era uint64
	err := remote.read(ctx, "/table/era", nil, &era)
	return era, err
}

func (remote remote) put(ctx context.Context, name string, body []byte) error {
	_, err := remote.call(ctx, http.MethodPut, "/object", url.Values{"name": {name}}, body)
	return err
}

func (remote remote) get(ctx context.Context, name string) ([]byte, error) {
	return remote.call(ctx, http.MethodGet, "/object", url.Values{"name": {name}}, nil)
}

func (remote remote) list(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var names []string
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := remote.read(ctx, "/objects", query, &names)
	return names, err
}

func (remote remote) instances(ctx context.Context) ([]Instance, error) {
	var instances []Instance
	err := remote.read(ctx, "/instances", nil, &instances)
	return instances, err
}

func (remote remote) read(ctx context.Context, path string, query url.Values, out any) error {
	body, err := remote.call(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(body, out), "decode the platform's answer")
}

// call makes one call. It returns ErrUnknown if it gets no complete answer, or one
// with an unexpected status.
func (remote remote) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, remote.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "platform address")
	}
	// Without GetBody the transport doesn't resend a write on its own. If it did, the
	// second write would return ErrConflict though the first took effect.
	request.GetBody = nil
	response, err := remote.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(ErrUnknown, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := limiter.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return nil, eris.Wrap(ErrUnknown, err.Error())
	}
	return answer, errorOf(response.StatusCode)
}

func errorOf(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrAbsent
	case http.StatusConflict:
		return ErrConflict
	case http.StatusPreconditionFailed:
		return ErrEra
	case http.StatusTooManyRequests:
		return ErrBusy
	}
	return eris.Wrapf(ErrUnknown, "status %d", status)
}
