package main

import (
	"net/http"

	"github.com/trefoilseam/trefoilseam/internal/limiter"
)

// newPageClient returns a client for the pages of processes, and a function that closes its idle
// connections.
func newPageClient() (*http.Client, func()) {
	return limiter.Client(http.DefaultTransport.(*http.Transport).Clone())
}
