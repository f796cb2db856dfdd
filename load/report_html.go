package load

import (
	_ "embed" // for the template
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
var reportTemplateText string

var reportTemplate = template.Must(template.New("report").Parse(reportTemplateText))

// Size of a plot without its margins.
const (
	plotWidth  = 420.0
	plotHeight = 160.0
)

// maxPlottedPercent is the right end of the percentile axis. The axis is logarithmic,
// so 100 percent would be infinitely far away.
const maxPlottedPercent = 99.99

type pageData struct {
	Report
	Classes     []classSection
	Width       float64
	Height      float64
	BreachKinds []BreachKind
}

type classSection struct {
	ClassReport
	Answered, NotRun, Unknown uint64
	// The lines are the points attributes of SVG polylines.
	PercentileLine, TargetLine     string
	ArrivedLine, MetLine, ShedLine string
	MaxLatency, MaxArrivalRate     string
}

// WriteHTML writes the report as one HTML page that needs no other files.
func (r Report) WriteHTML(w io.Writer) error {
	data := pageData{
		Report: r, Width: plotWidth, Height: plotHeight,
		Classes:     lo.Map(r.Classes, func(c ClassReport, _ int) classSection { return newClassSection(c) }),
		BreachKinds: []BreachKind{LostOutcome, ProtocolError, WrongBytes, DuplicateRun, MisreportedOutcome},
	}
	return errors.Wrap(reportTemplate.Execute(w, data), "writing the report")
}

func newClassSection(c ClassReport) classSection {
	latencyLimit := max(float64(c.MeasuredLatency.Max), float64(c.Class.Target()))
	maxRequests := float64(lo.Max(lo.Map(c.Series, func(p Point, _ int) int { return p.Requests })))
	series := func(value func(Point) int) string {
		return polyline(len(c.Series), func(i int) (float64, float64) {
			return float64(i) / float64(max(len(c.Series)-1, 1)), float64(value(c.Series[i])) / max(maxRequests, 1)
		})
	}
	target := float64(c.Class.Target()) / latencyLimit
	return classSection{
		ClassReport: c,
		Answered:    c.Counts.Outcomes[outcome.Answered],
		NotRun:      c.Counts.Outcomes[outcome.NotRun],
		Unknown:     c.Counts.Outcomes[outcome.Unknown],
		PercentileLine: polyline(len(c.MeasuredLatency.Quantiles), func(i int) (float64, float64) {
			q := c.MeasuredLatency.Quantiles[i]
			return percentScale(q.Percent), float64(q.Latency) / latencyLimit
		}),
		TargetLine:     polyline(2, func(i int) (float64, float64) { return float64(i), target }),
		ArrivedLine:    series(func(p Point) int { return p.Requests }),
		MetLine:        series(func(p Point) int { return p.Met }),
		ShedLine:       series(func(p Point) int { return p.Shed }),
		MaxLatency:     fmt.Sprintf("%d ms", clock.Millis(latencyLimit)),
		MaxArrivalRate: fmt.Sprintf("%.0f/s", maxRequests),
	}
}

// percentScale maps a percentile to a position from 0 to 1 on a logarithmic axis, on
// which 90, 99 and 99.9 percent are equally far apart.
func percentScale(percent float64) float64 {
	numberOfNines := func(p float64) float64 { return -math.Log10(1 - p/100) }
	return numberOfNines(min(percent, maxPlottedPercent)) / numberOfNines(maxPlottedPercent)
}

// polyline renders n points as an SVG polyline. Both coordinates of a point go from 0
// to 1, with y pointing up.
func polyline(n int, point func(i int) (x, y float64)) string {
	points := make([]string, 0, n)
	for i := range n {
		x, y := point(i)
		points = append(points, fmt.Sprintf("%.1f,%.1f", x*plotWidth, (1-y)*plotHeight))
	}
	return strings.Join(points, " ")
}
