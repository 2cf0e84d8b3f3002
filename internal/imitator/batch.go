package imitator

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sequence is one request inside the engine.
type sequence struct {
	id       string
	chat     string
	priority int
	prompt   []string
	cached   int
	prefill  int
	seed     uint64
	made     []string
	most     int
	out      chan string
	started  chan struct{}
	canceled bool
}

func newSequence(id string, priority int, prompt []string, most int) *sequence {
	digest := xxhash.New()
	for _, token := range prompt {
		_, _ = digest.WriteString(token)
	}
	return &sequence{
		id:       id,
		priority: priority,
		prompt:   prompt,
		seed:     digest.Sum64(),
		most:     most,
		out:      make(chan string, most),
		started:  make(chan struct{}),
	}
}

// word returns the i-th word of the answer; the same prompt always gets the same words.
func (seq *sequence) word(i int) string {
	return fmt.Sprintf("w%04x", uint16(seq.seed>>uint(i%48))+uint16(i))
}

// batch is the continuous batch of one engine: sequences join and leave
// between steps. Its owner holds a lock around it.
type batch struct {
	most    int
	prefill int
	cache   *prefixCache
	waiting []*sequence
	running []*sequence
}

func (batch *batch) add(seq *sequence) {
	at, _ := slices.BinarySearchFunc(batch.waiting, seq, func(a, b *sequence) int {
		if a.priority == b.priority {
			return -1
		}
		return cmp.Compare(a.priority, b.priority)
	})
	batch.waiting = slices.Insert(batch.waiting, at, seq)
}

// step admits what fits, spends the step's prefill budget in order, and makes
// one token for each sequence whose prompt is done.
func (batch *batch) step() {
	batch.dropCanceled()
	for len(batch.running) < batch.most && len(batch.waiting) > 0 {
		batch.admit(batch.waiting[0])
		batch.waiting = batch.waiting[1:]
	}
	budget := batch.prefill
	for _, seq := range batch.running {
		spent := min(budget, seq.prefill)
		seq.prefill -= spent
		budget -= spent
		if seq.prefill == 0 {
			batch.decode(seq)
		}
	}
	batch.running = slices.DeleteFunc(batch.running, func(seq *sequence) bool { return len(seq.made) >= seq.most })
}

func (batch *batch) admit(seq *sequence) {
	seq.cached = batch.cache.match(chain(seq.prompt)) * blockTokens
	seq.prefill = len(seq.prompt) - seq.cached
	close(seq.started)
	batch.running = append(batch.running, seq)
}

func (batch *batch) decode(seq *sequence) {
	word := seq.word(len(seq.made))
	seq.made = append(seq.made, word)
	seq.out <- word
	if len(seq.made) >= seq.most {
		whole := append(slices.Clone(seq.prompt), "assistant")
		blocks := chain(append(whole, seq.made...))
		batch.cache.add(blocks)
		batch.cache.name(seq.chat, blocks)
		close(seq.out)
	}
}

// dropCanceled takes canceled sequences out. Their readers see the output
// close before the last token.
func (batch *batch) dropCanceled() {
	batch.waiting = slices.DeleteFunc(batch.waiting, func(seq *sequence) bool {
		if seq.canceled {
			close(seq.started)
			close(seq.out)
		}
		return seq.canceled
	})
	batch.running = slices.DeleteFunc(batch.running, func(seq *sequence) bool {
		if seq.canceled {
			close(seq.out)
		}
		return seq.canceled
	})
}

// load returns the tokens still to be worked off.
func (batch *batch) load() int {
	sum := 0
	for _, seq := range batch.running {
		sum += seq.prefill + seq.most - len(seq.made)
	}
	for _, seq := range batch.waiting {
		sum += len(seq.prompt) + seq.most
	}
	return sum
}
