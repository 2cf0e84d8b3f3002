package measurer

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is how often counts move from the scope to the scrape page.
const reportEvery = 250 * time.Millisecond

// New returns a scope, the handler of its scrape page, and a function that
// flushes and closes the scope.
func New(process string, log logrus.FieldLogger) (tally.Scope, http.Handler, func()) {
	registry := prometheus.NewRegistry()
	// Processor time, memory and descriptors of the process, read when asked for.
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.WithError(err).Warn("metric not registered")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "trefoilseam",
		Tags:           map[string]string{"process": process},
		CachedReporter: reporter,
		// Without these two the reporter panics on tally's own metric names.
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportEvery)
	return scope, reporter.HTTPHandler(), func() { closeQuietly(closer, log) }
}

func closeQuietly(closer io.Closer, log logrus.FieldLogger) {
	if err := closer.Close(); err != nil {
		log.WithError(err).Warn("metrics not flushed")
	}
}
