package load

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// plottedFields are the fields of bench lines that are drawn.
var plottedFields = []string{"hit_rate", "wasted_tokens", "ttft_p99_ms"}

// PlotBench draws bar charts of bench lines, a row for each workload and
// scenario and a bar for each policy, into a PNG file.
func PlotBench(in io.Reader, file string) error {
	var titles []string
	groups := map[string][]map[string]string{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		fields := benchFields(lines.Text())
		if fields == nil {
			continue
		}
		title := fields["workload"] + " " + fields["scenario"]
		if groups[title] == nil {
			titles = append(titles, title)
		}
		groups[title] = append(groups[title], fields)
	}
	canvas := vgimg.New(vg.Length(len(plottedFields))*tileWidth, vg.Length(len(titles))*tileHeight)
	tiles := draw.Tiles{Rows: len(titles), Cols: len(plottedFields), PadX: padding, PadY: padding, PadLeft: padding, PadRight: padding, PadTop: padding, PadBottom: padding}
	all := draw.New(canvas)
	for row, title := range titles {
		for column, field := range plottedFields {
			p, err := bars(title+": "+field, field, groups[title])
			if err != nil {
				return fmt.Errorf("plot %s: %w", title, err)
			}
			p.Draw(tiles.At(all, column, row))
		}
	}
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	defer out.Close()
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(out)
	return err
}

// benchFields returns the fields of a bench line, or nil for another line.
func benchFields(line string) map[string]string {
	rest, ok := strings.CutPrefix(line, "bench ")
	if !ok {
		return nil
	}
	fields := map[string]string{}
	for pair := range strings.FieldsSeq(rest) {
		key, value, _ := strings.Cut(pair, "=")
		fields[key] = value
	}
	return fields
}

const barWidth = 0.6 * vg.Centimeter

func bars(title, field string, group []map[string]string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	var values plotter.Values
	var names []string
	for _, fields := range group {
		value, err := strconv.ParseFloat(fields[field], 64)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
		names = append(names, fields["policy"])
	}
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, err
	}
	p.Add(chart)
	p.NominalX(names...)
	p.Y.Min = 0
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign = draw.XRight
	return p, nil
}
