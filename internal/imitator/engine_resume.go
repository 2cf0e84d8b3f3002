package imitator

import (
	"net/http"
	"strconv"
)

// maxResumable is how many sequences an engine keeps for resuming.
const maxResumable = 256

// keepForResume stores a sequence under its id and removes the oldest above the limit;
// the lock must be held.
func (engine *Engine) keepForResume(seq *sequence) {
	if seq.id == "" {
		return
	}
	if engine.resumable == nil {
		engine.resumable = map[string]*sequence{}
	}
	engine.resumable[seq.id] = seq
	engine.resumableIDs = append(engine.resumableIDs, seq.id)
	if len(engine.resumableIDs) > maxResumable {
		delete(engine.resumable, engine.resumableIDs[0])
		engine.resumableIDs = engine.resumableIDs[1:]
	}
}

// progress returns the words of a sequence from an index on, and whether it finished or
// was aborted.
func (engine *Engine) progress(seq *sequence, after int) (words []string, finished, aborted bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	words = append(words, seq.generated[min(after, len(seq.generated)):]...)
	finished = len(seq.generated) >= seq.maxTokens
	return words, finished, !finished && (seq.canceled || engine.resumable[seq.id] != seq)
}

// resume streams the rest of a sequence, without its first `after` words. The stream of an
// aborted sequence ends without doneEvent.
func (engine *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		http.Error(w, "after is no number of words", http.StatusBadRequest)
		return
	}
	engine.mu.Lock()
	seq, ok := engine.resumable[r.PathValue("id")]
	engine.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		words, finished, aborted := engine.progress(seq, after)
		after += len(words)
		for _, word := range words {
			if writeWord(w, seq.id, "", word) != nil {
				return
			}
		}
		if finished {
			_, _ = w.Write([]byte(doneEvent))
			return
		}
		if aborted || engine.settings.Clock.Sleep(r.Context(), engine.settings.Step) != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
