// Package measurer sets up metrics: a tally scope and the page that a scraper
// reads.
package measurer
