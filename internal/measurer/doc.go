// Package measurer sets up metrics: a tally scope and its Prometheus scrape page.
package measurer
