package load

import (
	"fmt"
	"io"
	"os"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Slope is one cost measured at several sizes.
type Slope struct {
	Name string
	// Size and Cost name the two axes with their units.
	Size, Cost string
	X, Y       []float64
}

// Add adds one measured point.
func (s *Slope) Add(x, y float64) {
	s.X = append(s.X, x)
	s.Y = append(s.Y, y)
}

// Print prints the points with the straight line through them: its value at
// 0, its slope, and how much of the variance it explains.
func (s *Slope) Print(out io.Writer) {
	at0, perUnit := stat.LinearRegression(s.X, s.Y, nil, false)
	points := make([]string, len(s.X))
	for i := range s.X {
		points[i] = fmt.Sprintf("%g:%.4g", s.X[i], s.Y[i])
	}
	fmt.Fprintf(out, "slope name=%s size=%q cost=%q points=%s at_zero=%.4g per_unit=%.4g r2=%.3f\n",
		s.Name, s.Size, s.Cost, strings.Join(points, ","), at0, perUnit, stat.RSquared(s.X, s.Y, nil, at0, perUnit))
}

// Layout of the page of plots.
const (
	columns    = 3
	tileWidth  = 8 * vg.Centimeter
	tileHeight = 6 * vg.Centimeter
	padding    = 4 * vg.Millimeter
)

// WritePlots draws the slopes side by side into a PNG file.
func WritePlots(file string, slopes []*Slope) error {
	rows := (len(slopes) + columns - 1) / columns
	canvas := vgimg.New(columns*tileWidth, vg.Length(rows)*tileHeight)
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: padding, PadY: padding, PadLeft: padding, PadRight: padding, PadTop: padding, PadBottom: padding}
	all := draw.New(canvas)
	for i, s := range slopes {
		p, err := s.plot()
		if err != nil {
			return fmt.Errorf("plot %s: %w", s.Name, err)
		}
		p.Draw(tiles.At(all, i%columns, i/columns))
	}
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write plots: %w", err)
	}
	defer out.Close()
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(out)
	return err
}

func (s *Slope) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Size
	p.Y.Label.Text = s.Cost
	points := make(plotter.XYs, len(s.X))
	for i := range s.X {
		points[i].X, points[i].Y = s.X[i], s.Y[i]
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	at0, perUnit := stat.LinearRegression(s.X, s.Y, nil, false)
	line := plotter.NewFunction(func(x float64) float64 { return at0 + perUnit*x })
	p.Add(plotter.NewGrid(), scatter, line)
	return p, nil
}
