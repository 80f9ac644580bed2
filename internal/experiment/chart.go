package experiment

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"eidertrail/internal/simulation"
)

// Line is a line of a chart.
type Line struct {
	Name string
	X, Y []float64
}

const (
	chartWidth, chartHeight = 9 * vg.Inch, 4.5 * vg.Inch
	lineWidth               = vg.Length(1.5)
)

// lineColor and lineDashes together distinguish lines for readers who see no difference between some colours.
func lineColor(i int) color.Color {
	all := []color.RGBA{
		{0x1b, 0x6c, 0xa8, 0xff},
		{0xd9, 0x5f, 0x02, 0xff},
		{0x1b, 0x9e, 0x77, 0xff},
		{0x75, 0x70, 0xb3, 0xff},
		{0xe7, 0x29, 0x8a, 0xff},
		{0x66, 0x66, 0x66, 0xff},
	}
	return all[i%len(all)]
}

func lineDashes(i int) []vg.Length {
	all := [][]vg.Length{
		nil,
		{6, 3}, // points
		{2, 2},
	}
	return all[i%len(all)]
}

// Chart writes lines as an SVG picture. Below its title it names its origin: the seed and the version of the program.
func Chart(w io.Writer, title, origin, xLabel, yLabel string, lines []Line) error {
	chart := plot.New()
	chart.Title.Text = title + "\n" + origin
	chart.X.Label.Text, chart.Y.Label.Text = xLabel, yLabel
	chart.Y.Min = 0
	chart.Add(plotter.NewGrid())
	chart.Legend.Top = true
	for i, line := range lines {
		if err := addLine(chart, i, line); err != nil {
			return err
		}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	chart.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return err
}

// addLine adds the ith line, unless it has no points.
func addLine(chart *plot.Plot, i int, line Line) error {
	if len(line.X) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(line.X))
	for j := range points {
		points[j].X, points[j].Y = line.X[j], line.Y[j]
	}
	stroke, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("%w: chart: %s: %w", ErrLab, line.Name, err)
	}
	stroke.Color, stroke.Width, stroke.Dashes = lineColor(i), lineWidth, lineDashes(i)
	dots.Color, dots.Radius, dots.Shape = lineColor(i), lineWidth, draw.CircleGlyph{}
	chart.Add(stroke, dots)
	chart.Legend.Add(line.Name, stroke)
	return nil
}

// Course returns the lines of a run over its time: what became of the callers of each second.
func Course(r *simulation.Result) []Line {
	lines := []Line{{Name: "calls"}, {Name: "in time"}, {Name: "late"}, {Name: "cut"}, {Name: "lost"}}
	for i, w := range r.Windows {
		for j, v := range []int{w.Calls, w.InTime, w.Late, w.Dropped, w.Lost} {
			lines[j].X = append(lines[j].X, float64(i))
			lines[j].Y = append(lines[j].Y, float64(v))
		}
	}
	return lines
}
