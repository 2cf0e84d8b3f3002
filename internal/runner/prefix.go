package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

// maxPrefixBytes bounds an exported prefix, so that it fits a frame. An engine with a
// larger cache exports a ticket by which the other engine fetches the cache itself; the
// agent doesn't interpret the body.
const maxPrefixBytes = encoder.MaxBody

// prefixRequest requests the prefix of a chat from an engine.
type prefixRequest struct {
	Chat string `json:"chat"`
	// Release makes the engine's copy the next to be evicted.
	Release bool `json:"release"`
}

var (
	errNoPrefix      = eris.New("the engine has no prefix of the chat")
	errPrefixTooLong = eris.New("the exported prefix doesn't fit a frame")
)

func chatName(chat uint64) string {
	const hexadecimal = 16
	return strconv.FormatUint(chat, hexadecimal)
}

// setChatHeader sends the chat's name to an engine that exports its cache.
func (up *upstream) setChatHeader(request *http.Request, chat uint64) {
	request.Header.Del(encoder.CacheChatHeader)
	if up.service.CachePath != "" && chat != 0 {
		request.Header.Set(encoder.CacheChatHeader, chatName(chat))
	}
}

// exportPrefix returns the prefix of a chat in the engine's format, or errNoPrefix when
// the engine has none.
func (up *upstream) exportPrefix(ctx context.Context, chat uint64, release bool) ([]byte, error) {
	order, err := json.Marshal(prefixRequest{Chat: chatName(chat), Release: release})
	if err != nil {
		return nil, err
	}
	return up.callCache(ctx, "/export", order)
}

// importPrefix sends the engine a prefix that another engine has exported.
func (up *upstream) importPrefix(ctx context.Context, body []byte) error {
	_, err := up.callCache(ctx, "/import", body)
	return err
}

func (up *upstream) callCache(ctx context.Context, action string, body []byte) ([]byte, error) {
	address := up.base + up.service.CachePath + action
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := up.pooled.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	exported, err := io.ReadAll(io.LimitReader(response.Body, maxPrefixBytes+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode == http.StatusNotFound:
		return nil, errNoPrefix
	case response.StatusCode != http.StatusOK:
		return nil, eris.Errorf("the engine answered %d", response.StatusCode)
	case len(exported) > maxPrefixBytes:
		return nil, errPrefixTooLong
	}
	return exported, nil
}

// maxTransfers is how many prefixes an agent fetches or serves at once; hand-overs are not
// counted. Each takes a frame of memory; in a larger burst, a full prefill of the prompt is
// better than a late answer.
const maxTransfers = 8

// acquireTransfer reserves one of maxTransfers transfers and returns a function that
// releases it. It returns false when none is free.
func (agent *Agent) acquireTransfer() (func(), bool) {
	select {
	case agent.transfers <- struct{}{}:
		return func() { <-agent.transfers }, true
	default:
		return func() {}, false
	}
}

// hasRunningCall reports whether a call of the chat runs, in which case its prefix is not
// cached yet; Agent.mu must be held.
func (agent *Agent) hasRunningCall(chat uint64) bool {
	for _, run := range agent.runs {
		if run.chat == chat && run.endedAt == 0 && !run.tombstone {
			return true
		}
	}
	return false
}

// servePrefix answers a replica that requests the prefix of a chat.
func (agent *Agent) servePrefix(ctx context.Context, ask *encoder.PrefixAsk) *encoder.PrefixBody {
	agent.mu.Lock()
	holder, tokens := agent.directory.Locate(ask.GetChat()), agent.directory.PrefixTokens(ask.GetChat())
	timeout, enabled := agent.service.FetchTimeout, agent.upstream.service.CachePath != ""
	agent.mu.Unlock()
	none := &encoder.PrefixBody{Chat: ask.GetChat(), Kind: classifier.NotFound.String()}
	if holder != agent.settings.Name {
		none.Where = holder
		return none
	}
	release, acquired := agent.acquireTransfer()
	defer release()
	if !enabled || !acquired || ask.GetService() != agent.settings.Service {
		return none
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	body, err := agent.upstream.exportPrefix(ctx, ask.GetChat(), ask.GetRelease())
	agent.mu.Lock()
	defer agent.mu.Unlock()
	switch {
	case eris.Is(err, errNoPrefix):
		if !agent.hasRunningCall(ask.GetChat()) {
			agent.directory.ForgetLocal(ask.GetChat())
		}
		return none
	case err != nil:
		return none
	case ask.GetRelease():
		agent.directory.RecordTransfer(ask.GetChat(), ask.GetAsker())
	}
	return &encoder.PrefixBody{Chat: ask.GetChat(), Body: body, Tokens: tokens}
}

// acceptPrefix imports the prefix that a leaving replica hands over, if it fits: a prefix
// that doesn't fit would evict another chat's. The answer names this replica when the
// import has succeeded.
func (agent *Agent) acceptPrefix(ctx context.Context, body *encoder.PrefixBody) *encoder.PointerAnswer {
	answer := &encoder.PointerAnswer{Chat: body.GetChat()}
	agent.mu.Lock()
	enabled := agent.upstream.service.CachePath != "" && !agent.draining && agent.directory.Fits(body.GetTokens())
	held := agent.directory.Locate(body.GetChat()) == agent.settings.Name
	timeout := agent.service.FetchTimeout
	if enabled {
		// Recorded before the import, so that concurrent hand-overs don't all count on the
		// same free space.
		agent.directory.Record(body.GetChat(), agent.settings.Name, body.GetTokens())
	}
	agent.mu.Unlock()
	if !enabled {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	if err := agent.upstream.importPrefix(ctx, body.GetBody()); err != nil {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		if !held {
			agent.directory.ForgetLocal(body.GetChat())
		}
		return answer
	}
	answer.Instance, answer.Tokens = agent.settings.Name, body.GetTokens()
	return answer
}
