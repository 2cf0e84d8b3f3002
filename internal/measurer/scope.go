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

// reportInterval is the interval at which the scope reports its metrics to the scrape
// page.
const reportInterval = 250 * time.Millisecond

// New returns a scope whose metrics are tagged with process, the handler of its scrape
// page, and a function that flushes and closes the scope.
func New(process string, log logrus.FieldLogger) (tally.Scope, http.Handler, func()) {
	registry := prometheus.NewRegistry()
	// CPU time, memory and file descriptors of the process, read on each scrape.
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
		// Without Separator and SanitizeOptions the reporter panics on tally's own metric
		// names.
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), func() { closeAndLog(closer, log) }
}

func closeAndLog(closer io.Closer, log logrus.FieldLogger) {
	if err := closer.Close(); err != nil {
		log.WithError(err).Warn("metrics not flushed")
	}
}
