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

// colors tell lines apart, also where colours are hard to tell.
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

// Chart writes lines as an SVG picture. Under its title stands what made it.
func Chart(w io.Writer, title, made, x, y string, lines []Line) error {
	p := plot.New()
	p.Title.Text = title + "\n" + made
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	for i, l := range lines {
		points := make(plotter.XYs, len(l.X))
		for j := range l.X {
			points[j].X, points[j].Y = l.X[j], l.Y[j]
		}
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("%w: chart: %s: %w", ErrLab, l.Name, err)
		}
		line.Color = lineColor(i)
		line.Width = vg.Points(1.5)
		line.Dashes = [][]vg.Length{nil, {vg.Points(6), vg.Points(3)}, {vg.Points(2), vg.Points(2)}}[i%3]
		dots.Color, dots.Radius, dots.Shape = lineColor(i), vg.Points(1.5), draw.CircleGlyph{}
		p.Add(line, dots)
		p.Legend.Add(l.Name, line)
	}
	c := vgsvg.New(9*vg.Inch, 4.5*vg.Inch)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return err
}

// Course is the lines of a run's course: what became of the callers of each second.
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
