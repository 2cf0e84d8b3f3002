//go:build cgo && linux

#include <malloc.h>

// limit_arenas makes all threads share one arena of the C library's allocator, which the Go runtime hardly
// uses. By default most threads reserve one of their own, of 64 MB of addresses: with a limit on the addresses
// of the process, the next thread can't be made, and the process ends.
__attribute__((constructor)) static void limit_arenas(void) {
#if defined(__GLIBC__) && defined(M_ARENA_MAX)
	mallopt(M_ARENA_MAX, 1);
#endif
}
