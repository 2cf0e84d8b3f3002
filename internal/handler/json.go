package handler

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
)

// maxBodyBytes bounds the JSON body of a request.
const maxBodyBytes = 64 << 20

// JSON returns a handler that decodes a JSON body into In, calls work and writes its
// result as JSON. Errors become problem responses according to their kind in package
// classifier. A request without a body leaves In at its zero value.
func JSON[In, Out any](work func(r *http.Request, in In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := decodeBody(r, &in); err != nil {
			classifier.Write(w, classifier.New(classifier.BadRequest, err.Error()), "")
			return
		}
		out, err := work(r, in)
		if err != nil {
			classifier.Write(w, classifier.Of(err), "")
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

// Show returns a handler that writes the result of work as JSON.
func Show[Out any](work func() Out) http.HandlerFunc {
	return JSON(func(_ *http.Request, _ struct{}) (Out, error) { return work(), nil })
}

func decodeBody(r *http.Request, in any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || len(body) == 0 {
		return err
	}
	return json.Unmarshal(body, in)
}
