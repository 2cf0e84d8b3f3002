package verifier

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// The size of a plot and the margins around its area, in pixels.
const (
	plotWidth  = 860.0
	plotHeight = 190.0
	left       = 46.0
	right      = 34.0
	top        = 12.0
	bottom     = 28.0
)

// plot is one figure of the page; all positions are in pixels.
type plot struct {
	Title  string
	Note   string
	Width  float64
	Height float64
	Left   float64
	Right  float64
	Base   float64
	Ticks  []tick
	Times  []tick
	Line   string
	Dots   []dot
	Bars   []bar
}

// tick is a mark on an axis.
type tick struct {
	At   float64
	Text string
}

// dot is one point of a line.
type dot struct {
	X, Y float64
	Text string
}

// bar is a rectangle.
type bar struct {
	X, Y, Width, Height float64
	Class               string
	Text                string
}

// axes is the scale of a plot: its time range and its highest value.
type axes struct {
	from     timekeeper.Instant
	until    timekeeper.Instant
	maxValue float64
}

func (axes axes) x(at timekeeper.Instant) float64 {
	span := max(1, axes.until.Since(axes.from))
	return left + (plotWidth-left-right)*float64(at.Since(axes.from))/float64(span)
}

func (axes axes) y(value float64) float64 {
	return plotHeight - bottom - (plotHeight-top-bottom)*value/axes.maxValue
}

// emptyPlot returns a plot with its axes and no data.
func (axes axes) emptyPlot(title, note string) plot {
	empty := plot{
		Title: title, Note: note, Width: plotWidth, Height: plotHeight,
		Left: left, Right: plotWidth - right, Base: plotHeight - bottom,
	}
	const intervals = 4
	for i := range intervals + 1 {
		fraction := float64(i) / intervals
		value := axes.maxValue * fraction
		empty.Ticks = append(empty.Ticks, tick{axes.y(value), strconv.FormatFloat(value, 'g', 3, 64)})
		at := axes.from.Add(timekeeper.Span(fraction * float64(axes.until.Since(axes.from))))
		empty.Times = append(empty.Times, tick{axes.x(at), at.Time().Format("15:04:05")})
	}
	return empty
}

// skewPlots returns one plot of the load skew for each service.
func skewPlots(report Report) []plot {
	var plots []plot
	for start := 0; start < len(report.Skews); {
		end := start
		maxValue := 1.0
		for end < len(report.Skews) && report.Skews[end].Service == report.Skews[start].Service {
			maxValue = max(maxValue, report.Skews[end].Ratio)
			end++
		}
		plots = append(plots, skewPlot(report, report.Skews[start:end], maxValue))
		start = end
	}
	return plots
}

func skewPlot(report Report, skews []LoadSkew, maxValue float64) plot {
	scale := axes{report.From, report.Until, math.Ceil(maxValue)}
	figure := scale.emptyPlot(skews[0].Service, "highest load over mean load at the busiest moment of each part; no point where it was idle")
	var line strings.Builder
	for _, skew := range skews {
		point := dot{scale.x(skew.At), scale.y(skew.Ratio), fmt.Sprintf("%s: %.2f (highest %d, mean %.1f)", skew.At, skew.Ratio, skew.Max, skew.Mean)}
		figure.Dots = append(figure.Dots, point)
		fmt.Fprintf(&line, "%.1f,%.1f ", point.X, point.Y)
	}
	figure.Line = line.String()
	return figure
}

// answerPlot returns the plot of the answers to callers, by result.
func answerPlot(report Report) plot {
	maxValue := 1
	for _, count := range report.Answers {
		maxValue = max(maxValue, count.Whole+count.NotRun+count.Unknown)
	}
	const intervals = 4
	scale := axes{report.From, report.Until, float64((maxValue + intervals - 1) / intervals * intervals)}
	figure := scale.emptyPlot("Answers", "calls answered in each part of the time")
	width := max(2, (plotWidth-left-right)/maxParts-1)
	for _, count := range report.Answers {
		floor := 0
		add := func(class, text string, value int) {
			if value == 0 {
				return
			}
			upper := scale.y(float64(floor + value))
			figure.Bars = append(figure.Bars, bar{
				scale.x(count.At), upper, width, scale.y(float64(floor)) - upper, class,
				fmt.Sprintf("%s: %d %s", count.At, value, text),
			})
			floor += value
		}
		add("whole", "whole", count.Whole)
		add("not-run", "refused, not run", count.NotRun)
		add("unknown", "outcome unknown or cut", count.Unknown)
	}
	return figure
}
