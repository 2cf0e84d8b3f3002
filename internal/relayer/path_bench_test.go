package relayer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRequest reports the cost of a whole request for an entry and its replica,
// and that of a refusal for the entry alone.
func BenchmarkRequest(b *testing.B) {
	replica := httptest.NewServer(http.HandlerFunc(streaming))
	defer replica.Close()
	entry := newTestEntry(b, replica.Listener.Addr().String())
	front := httptest.NewServer(entry)
	defer front.Close()
	tests := []struct {
		name, host string
		status     int
	}{
		{"answered", "kitchen.example", http.StatusOK},
		{"refused", "nowhere.example", http.StatusNotFound},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			client := &http.Client{}
			b.ReportAllocs()
			for b.Loop() {
				request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, front.URL+"/1", http.NoBody)
				request.Host = test.host
				request.Header.Set("Id", "r")
				response, err := client.Do(request)
				if err != nil || response.StatusCode != test.status {
					b.Fatal(err, response)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
