package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

// CachedHeader is the response header with the number of cached prompt tokens.
const CachedHeader = "Engine-Cached-Tokens"

// RequestHeader carries the request id, by which a request is cancelled or resumed.
const RequestHeader = "X-Request-Id"

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatDelta struct {
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

const defaultMaxTokens = 16

// tokensOf returns the prompt's tokens: for each message its role, then its words.
func tokensOf(messages []chatMessage) []string {
	tokens := make([]string, 0, 16*len(messages))
	for _, message := range messages {
		tokens = append(tokens, message.Role)
		tokens = append(tokens, strings.Fields(message.Content)...)
	}
	return tokens
}

func priorityOf(header string) int {
	const normal = 3
	for _, item := range strings.Split(header, ",") {
		if urgency, ok := strings.CutPrefix(strings.TrimSpace(item), "u="); ok {
			if value, err := strconv.Atoi(urgency); err == nil {
				return value
			}
		}
	}
	return normal
}

func (engine *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	id := r.Header.Get(RequestHeader)
	seq := newSequence(id, priorityOf(r.Header.Get("Priority")), tokensOf(request.Messages), request.MaxTokens)
	seq.chat = r.Header.Get(encoder.CacheChatHeader)
	crashed, ok := engine.start(seq)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	finished, err := engine.answer(w, r, request, seq, crashed)
	engine.finish(seq, finished)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

var (
	errCrashed  = eris.New("the engine crashed")
	errCanceled = eris.New("the sequence was canceled")
)

// answer writes the answer of a sequence and reports whether it was written to the end.
func (engine *Engine) answer(
	w http.ResponseWriter, r *http.Request, request chatRequest, seq *sequence, crashed <-chan struct{},
) (bool, error) {
	select {
	case <-seq.started:
	case <-crashed:
		return false, errCrashed
	case <-r.Context().Done():
		return false, r.Context().Err()
	}
	w.Header().Set(CachedHeader, strconv.Itoa(seq.cached))
	if request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		return engine.stream(w, r, request, seq, crashed)
	}
	words, err := engine.collect(r, seq, crashed)
	if err != nil {
		return false, err
	}
	message := &chatMessage{Role: "assistant", Content: strings.Join(words, " ")}
	w.Header().Set("Content-Type", "application/json")
	return true, json.NewEncoder(w).Encode(chatAnswer{
		ID: seq.id, Object: "chat.completion", Model: request.Model,
		Choices: []chatChoice{{Message: message, FinishReason: "stop"}},
		Usage:   &chatUsage{PromptTokens: len(seq.prompt), CompletionTokens: len(words)},
	})
}

func (engine *Engine) next(r *http.Request, seq *sequence, crashed <-chan struct{}) (string, bool, error) {
	select {
	case word, more := <-seq.out:
		if !more && len(seq.generated) < seq.maxTokens {
			return "", false, errCanceled
		}
		return word, more, nil
	case <-crashed:
		return "", false, errCrashed
	case <-r.Context().Done():
		if engine.settings.CancelDelay > 0 {
			fired, stop := engine.settings.Clock.After(engine.settings.CancelDelay)
			defer stop()
			<-fired
		}
		return "", false, r.Context().Err()
	}
}

func (engine *Engine) collect(r *http.Request, seq *sequence, crashed <-chan struct{}) ([]string, error) {
	var words []string
	for {
		word, more, err := engine.next(r, seq, crashed)
		if err != nil || !more {
			return words, err
		}
		words = append(words, word)
	}
}

func (engine *Engine) stream(
	w http.ResponseWriter, r *http.Request, request chatRequest, seq *sequence, crashed <-chan struct{},
) (bool, error) {
	for {
		word, more, err := engine.next(r, seq, crashed)
		if err != nil {
			return false, err
		}
		if !more {
			_, err = fmt.Fprint(w, doneEvent)
			return err == nil, err
		}
		if err := writeWord(w, seq.id, request.Model, word); err != nil {
			return false, err
		}
	}
}

// doneEvent ends a complete stream.
const doneEvent = "data: [DONE]\n\n"

// writeWord writes one word of an answer as an event and flushes it.
func writeWord(w http.ResponseWriter, id, model, word string) error {
	event, err := json.Marshal(chatAnswer{
		ID: id, Object: "chat.completion.chunk", Model: model,
		Choices: []chatChoice{{Delta: &chatDelta{Content: word + " "}}},
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func (engine *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	seq, ok := engine.active[r.PathValue("id")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	seq.canceled = true
	w.WriteHeader(http.StatusNoContent)
}
