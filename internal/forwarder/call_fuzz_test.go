package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// FuzzClassifyModel classifies completions with arbitrary bodies. Each must give a
// call with its service, its body and no negative work, or a failure that says that
// nothing ran.
func FuzzClassifyModel(f *testing.F) {
	for _, body := range []string{
		`{"model":"planner","max_tokens":3,"user":"van-7"}`, `{"model":"planner","max_tokens":-9223372036854775808}`,
		`{"model":["planner"]}`, `{"model":"planner","user":{"a":1}}`, `{"model":"planner"`, `[]`, `null`, "", "\x00\xff",
		`{"model":"planner","max_tokens":9223372036854775807}`, `{"model":"planner","max_tokens":1e400}`,
	} {
		f.Add(body)
	}
	config := resolver.Config{Services: map[string]resolver.Service{
		"planner": {Kind: resolver.KindModel, Models: []string{"planner"}, ChatField: "user", MaxBody: 4096},
	}}
	entry := New(Settings{Name: "entry-1", Clock: timekeeper.Wall()})
	f.Fuzz(func(t *testing.T, body string) {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, completionsPath, strings.NewReader(body))
		classified, err := entry.classifyModel(httptest.NewRecorder(), request, config, call{team: "test"})
		switch {
		case err != nil && classifier.AnswerOf(classifier.Of(err).Kind).Ran != classifier.RanNo:
			t.Fatalf("%q: %v does not say that nothing ran", body, err)
		case err == nil && (classified.work < 0 || classified.service != "planner" || string(classified.body) != body):
			t.Fatalf("%q was classified as %+v", body, classified)
		}
	})
}
