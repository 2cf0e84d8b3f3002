package handler

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/limiter"
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
			classifier.Write(w, decodeFailure(err), "")
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

// decodeFailure returns the failure for an error of decodeBody.
func decodeFailure(err error) classifier.Failure {
	var long limiter.TooLongError
	if eris.As(err, &long) {
		return classifier.New(classifier.BodyTooLarge, err.Error())
	}
	return classifier.New(classifier.BadRequest, err.Error())
}

func decodeBody(r *http.Request, in any) error {
	body, err := limiter.ReadAll(r.Body, maxBodyBytes)
	if err != nil || len(body) == 0 {
		return err
	}
	return json.Unmarshal(body, in)
}
