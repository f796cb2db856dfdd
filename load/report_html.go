package load

import (
	_ "embed" // holds the template of the page
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

//go:embed report.html.tmpl
var pageTemplate string

var page = template.Must(template.New("report").Parse(pageTemplate))

// Size of a plot without its margins.
const (
	plotWidth  = 420.0
	plotHeight = 160.0
)

// wholePercent stands for 100 percent on the scale of percentiles, which has no
// end.
const wholePercent = 99.99

type pageData struct {
	Report
	Classes []pageClass
	Width   float64
	Height  float64
	Kinds   []BreachKind
}

type pageClass struct {
	ClassReport
	Answered, NotRun, Unknown uint64
	// Percentiles and the series are points of SVG polylines.
	Percentiles, TargetLine    string
	Arrived, InTime, ShedLine  string
	LongestLatency, MostArrive string
}

// WriteHTML writes the report as one page without references to other files.
func (r Report) WriteHTML(w io.Writer) error {
	data := pageData{
		Report: r, Width: plotWidth, Height: plotHeight,
		Classes: lo.Map(r.Classes, func(c ClassReport, _ int) pageClass { return newPageClass(c) }),
		Kinds:   []BreachKind{LostOutcome, ProtocolError, WrongBytes, DuplicateRun, MisreportedOutcome},
	}
	return errors.Wrap(page.Execute(w, data), "writing the report")
}

func newPageClass(c ClassReport) pageClass {
	top := max(float64(c.MeasuredLatency.Max), float64(c.Class.Target()))
	most := float64(lo.Max(lo.Map(c.Series, func(p Point, _ int) int { return p.Requests })))
	series := func(value func(Point) int) string {
		return polyline(len(c.Series), func(i int) (float64, float64) {
			return float64(i) / float64(max(len(c.Series)-1, 1)), float64(value(c.Series[i])) / max(most, 1)
		})
	}
	target := float64(c.Class.Target()) / top
	return pageClass{
		ClassReport: c,
		Answered:    c.Counts.Outcomes[outcome.Answered],
		NotRun:      c.Counts.Outcomes[outcome.NotRun],
		Unknown:     c.Counts.Outcomes[outcome.Unknown],
		Percentiles: polyline(len(c.MeasuredLatency.Quantiles), func(i int) (float64, float64) {
			q := c.MeasuredLatency.Quantiles[i]
			return percentScale(q.Percent), float64(q.Latency) / top
		}),
		TargetLine:     polyline(2, func(i int) (float64, float64) { return float64(i), target }),
		Arrived:        series(func(p Point) int { return p.Requests }),
		InTime:         series(func(p Point) int { return p.Met }),
		ShedLine:       series(func(p Point) int { return p.Shed }),
		LongestLatency: fmt.Sprintf("%d ms", clock.Millis(top)),
		MostArrive:     fmt.Sprintf("%.0f/s", most),
	}
}

// percentScale maps a percentile to 0 to 1 so that 90, 99 and 99.9 percent are
// equally far apart.
func percentScale(percent float64) float64 {
	nines := func(p float64) float64 { return -math.Log10(1 - p/100) }
	return nines(min(percent, wholePercent)) / nines(wholePercent)
}

// polyline renders points from 0 to 1 on both axes, with y upwards.
func polyline(n int, at func(i int) (x, y float64)) string {
	points := make([]string, 0, n)
	for i := range n {
		x, y := at(i)
		points = append(points, fmt.Sprintf("%.1f,%.1f", x*plotWidth, (1-y)*plotHeight))
	}
	return strings.Join(points, " ")
}
