package receiver

import "sync/atomic"

// Memory is a bound on bytes that requests hold together. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a bound of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Take takes bytes unless more than the limit would then be used.
func (memory *Memory) Take(bytes int64) bool { return memory.takeWithin(bytes, memory.limit) }

// takeWithin is Take with another limit.
func (memory *Memory) takeWithin(bytes, limit int64) bool {
	for {
		used := memory.used.Load()
		if bytes > limit-used {
			return false
		}
		if memory.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Give returns bytes that were taken.
func (memory *Memory) Give(bytes int64) { memory.used.Add(-bytes) }

// Used returns how many bytes are taken.
func (memory *Memory) Used() int64 { return memory.used.Load() }
