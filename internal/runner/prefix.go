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

// longestPrefix bounds an exported prefix in bytes, so that it fits a frame. An
// engine whose cache is larger exports a ticket by which the other engine
// fetches the cache itself; what is in the body is the engines' affair.
const longestPrefix = encoder.MaxBody

// prefixOrder asks an engine for the prefix of a chat.
type prefixOrder struct {
	Chat string `json:"chat"`
	// Release makes the copy the next to be evicted.
	Release bool `json:"release"`
}

var (
	errNoPrefix   = eris.New("the engine has no prefix of the chat")
	errPrefixLong = eris.New("the exported prefix is over the limit")
)

func chatName(chat uint64) string {
	const hexadecimal = 16
	return strconv.FormatUint(chat, hexadecimal)
}

// nameChat tells an engine that exports its cache which chat a request is of.
func (up *upstream) nameChat(request *http.Request, chat uint64) {
	request.Header.Del(encoder.CacheChatHeader)
	if up.service.CachePath != "" && chat != 0 {
		request.Header.Set(encoder.CacheChatHeader, chatName(chat))
	}
}

// exportPrefix returns the prefix of a chat as the engine writes it, or
// errNoPrefix when the engine has none.
func (up *upstream) exportPrefix(ctx context.Context, chat uint64, release bool) ([]byte, error) {
	order, err := json.Marshal(prefixOrder{Chat: chatName(chat), Release: release})
	if err != nil {
		return nil, err
	}
	return up.askCache(ctx, "/export", order)
}

// importPrefix gives the engine what another has exported.
func (up *upstream) importPrefix(ctx context.Context, body []byte) error {
	_, err := up.askCache(ctx, "/import", body)
	return err
}

func (up *upstream) askCache(ctx context.Context, action string, body []byte) ([]byte, error) {
	address := up.base + up.service.CachePath + action
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := up.reused.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(response.Body, longestPrefix+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode == http.StatusNotFound:
		return nil, errNoPrefix
	case response.StatusCode != http.StatusOK:
		return nil, eris.Errorf("the engine answered %d", response.StatusCode)
	case len(got) > longestPrefix:
		return nil, errPrefixLong
	}
	return got, nil
}

// mostTransfers is how many prefixes an agent moves at once. Each holds a frame
// in memory, and a burst past it is better served cold than late.
const mostTransfers = 8

// beginTransfer takes a place among the transfers, if one is free.
func (agent *Agent) beginTransfer() (func(), bool) {
	select {
	case agent.transfers <- struct{}{}:
		return func() { <-agent.transfers }, true
	default:
		return func() {}, false
	}
}

// busy reports whether a call of the chat runs, so that its prefix is not cached
// yet; the lock must be held.
func (agent *Agent) busy(chat uint64) bool {
	for _, run := range agent.runs {
		if run.chat == chat && run.ended == 0 && !run.tomb {
			return true
		}
	}
	return false
}

// givePrefix answers a replica that asks for the prefix of a chat.
func (agent *Agent) givePrefix(ctx context.Context, ask *encoder.PrefixAsk) *encoder.PrefixBody {
	agent.mu.Lock()
	where, tokens := agent.places.Locate(ask.GetChat()), agent.places.PrefixTokens(ask.GetChat())
	longest, able := agent.service.FetchTimeout, agent.upstream.service.CachePath != ""
	agent.mu.Unlock()
	none := &encoder.PrefixBody{Chat: ask.GetChat(), Kind: classifier.NotFound.String()}
	if where != agent.settings.Name {
		none.Where = where
		return none
	}
	end, free := agent.beginTransfer()
	defer end()
	if !able || !free || ask.GetService() != agent.settings.Service {
		return none
	}
	ctx, cancel := context.WithTimeout(ctx, longest.Duration())
	defer cancel()
	body, err := agent.upstream.exportPrefix(ctx, ask.GetChat(), ask.GetRelease())
	agent.mu.Lock()
	defer agent.mu.Unlock()
	switch {
	case eris.Is(err, errNoPrefix):
		if !agent.busy(ask.GetChat()) {
			agent.places.Forget(ask.GetChat())
		}
		return none
	case err != nil:
		return none
	case ask.GetRelease():
		agent.places.RecordTransfer(ask.GetChat(), ask.GetAsker())
	}
	return &encoder.PrefixBody{Chat: ask.GetChat(), Body: body, Tokens: tokens}
}

// takePrefix takes the prefix that a leaving replica hands over, when it fits.
// The answer names this replica when it was taken. A prefix that doesn't fit
// would cost another chat its own.
func (agent *Agent) takePrefix(ctx context.Context, body *encoder.PrefixBody) *encoder.PointerAnswer {
	answer := &encoder.PointerAnswer{Chat: body.GetChat()}
	agent.mu.Lock()
	able := agent.upstream.service.CachePath != "" && !agent.draining && agent.places.Fits(body.GetTokens())
	known := agent.places.Locate(body.GetChat()) == agent.settings.Name
	longest := agent.service.FetchTimeout
	if able {
		// Noted before the import, so that hand-overs side by side don't all
		// see the same room.
		agent.places.Record(body.GetChat(), agent.settings.Name, body.GetTokens())
	}
	agent.mu.Unlock()
	if !able {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, longest.Duration())
	defer cancel()
	if err := agent.upstream.importPrefix(ctx, body.GetBody()); err != nil {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		if !known {
			agent.places.Forget(body.GetChat())
		}
		return answer
	}
	answer.Instance, answer.Tokens = agent.settings.Name, body.GetTokens()
	return answer
}
