package relayer

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// fingerprint returns a hash of a request that is equal for its caller's retries.
func fingerprint(r *http.Request, team string, body []byte) uint64 {
	digest := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.RequestURI, team} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
