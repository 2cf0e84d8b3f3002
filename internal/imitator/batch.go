package imitator

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sequence is the state of one request in the engine.
type sequence struct {
	id            string
	chat          string
	priority      int
	prompt        []string
	cached        int
	pendingTokens int
	seed          uint64
	generated     []string
	maxTokens     int
	out           chan string
	started       chan struct{}
	canceled      bool
}

func newSequence(id string, priority int, prompt []string, maxTokens int) *sequence {
	digest := xxhash.New()
	for _, token := range prompt {
		_, _ = digest.WriteString(token)
	}
	return &sequence{
		id:        id,
		priority:  priority,
		prompt:    prompt,
		seed:      digest.Sum64(),
		maxTokens: maxTokens,
		out:       make(chan string, maxTokens),
		started:   make(chan struct{}),
	}
}

// word returns the i-th word of the answer, which depends only on the prompt.
func (seq *sequence) word(i int) string {
	return fmt.Sprintf("w%04x", uint16(seq.seed>>uint(i%48))+uint16(i))
}

// batch is the continuous batch of one engine: sequences join and leave between
// steps. The caller must hold the engine's lock.
type batch struct {
	maxRunning     int
	prefillPerStep int
	cache          *prefixCache
	waiting        []*sequence
	running        []*sequence
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

// step admits waiting sequences, spends the prefill budget in order of admission, and
// generates one token for each sequence whose prompt is prefilled.
func (batch *batch) step() {
	batch.dropCanceled()
	for len(batch.running) < batch.maxRunning && len(batch.waiting) > 0 {
		batch.admit(batch.waiting[0])
		batch.waiting = batch.waiting[1:]
	}
	budget := batch.prefillPerStep
	for _, seq := range batch.running {
		spent := min(budget, seq.pendingTokens)
		seq.pendingTokens -= spent
		budget -= spent
		if seq.pendingTokens == 0 {
			batch.decode(seq)
		}
	}
	batch.running = slices.DeleteFunc(batch.running, func(seq *sequence) bool { return len(seq.generated) >= seq.maxTokens })
}

func (batch *batch) admit(seq *sequence) {
	seq.cached = batch.cache.match(blockHashes(seq.prompt)) * blockTokens
	seq.pendingTokens = len(seq.prompt) - seq.cached
	close(seq.started)
	batch.running = append(batch.running, seq)
}

func (batch *batch) decode(seq *sequence) {
	word := seq.word(len(seq.generated))
	seq.generated = append(seq.generated, word)
	seq.out <- word
	if len(seq.generated) >= seq.maxTokens {
		tokens := append(slices.Clone(seq.prompt), "assistant")
		blocks := blockHashes(append(tokens, seq.generated...))
		batch.cache.add(blocks)
		batch.cache.setChat(seq.chat, blocks)
		close(seq.out)
	}
}

// dropCanceled removes cancelled sequences. It closes their output before the last
// token, by which readers detect the cancellation.
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

// load returns the number of tokens that remain to be prefilled and generated.
func (batch *batch) load() int {
	sum := 0
	for _, seq := range batch.running {
		sum += seq.pendingTokens + seq.maxTokens - len(seq.generated)
	}
	for _, seq := range batch.waiting {
		sum += len(seq.prompt) + seq.maxTokens
	}
	return sum
}
