package imitator

import (
	"net/http"
	"strconv"
)

// keptSequences is how many sequences an engine keeps for a resume.
const keptSequences = 256

// keep remembers a sequence under its id, and forgets the oldest past the
// limit; the lock must be held.
func (engine *Engine) keep(seq *sequence) {
	if seq.id == "" {
		return
	}
	if engine.kept == nil {
		engine.kept = map[string]*sequence{}
	}
	engine.kept[seq.id] = seq
	engine.keptOrder = append(engine.keptOrder, seq.id)
	if len(engine.keptOrder) > keptSequences {
		delete(engine.kept, engine.keptOrder[0])
		engine.keptOrder = engine.keptOrder[1:]
	}
}

// progress returns the words of a sequence from an index on, and whether it has
// ended or was cut.
func (engine *Engine) progress(seq *sequence, after int) (words []string, whole, cut bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	words = append(words, seq.made[min(after, len(seq.made)):]...)
	whole = len(seq.made) >= seq.most
	return words, whole, !whole && (seq.canceled || engine.kept[seq.id] != seq)
}

// resume streams a sequence again from behind its first so many words. A
// sequence that was cut ends without its terminal.
func (engine *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		http.Error(w, "after is no number of words", http.StatusBadRequest)
		return
	}
	engine.mu.Lock()
	seq, ok := engine.kept[r.PathValue("id")]
	engine.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		words, whole, cut := engine.progress(seq, after)
		after += len(words)
		for _, word := range words {
			if writeWord(w, seq.id, "", word) != nil {
				return
			}
		}
		if whole {
			_, _ = w.Write([]byte(doneEvent))
			return
		}
		if cut || engine.settings.Clock.Sleep(r.Context(), engine.settings.Step) != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
