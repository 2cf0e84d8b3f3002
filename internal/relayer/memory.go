package relayer

import "sync/atomic"

// memory is a bound on bytes that requests hold together. It is safe for concurrent use.
type memory struct {
	limit int64
	used  atomic.Int64
}

// take takes bytes unless more than limit would then be used; limit is at most memory.limit.
func (memory *memory) take(bytes, limit int64) bool {
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

// give returns bytes that were taken.
func (memory *memory) give(bytes int64) { memory.used.Add(-bytes) }
