package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"os"
)

const (
	tileWidth  = 14 * vg.Centimeter
	tileHeight = 8 * vg.Centimeter
)

// lineColors holds the line colors of the systems, in the order of systemSpecs.
var lineColors = []color.RGBA{
	{0, 0, 0, 255}, {0, 90, 200, 255}, {100, 180, 180, 255}, {220, 120, 0, 255}, {150, 0, 150, 255},
	{200, 0, 0, 255}, {120, 120, 120, 255}, {0, 140, 60, 255}, {230, 190, 0, 255}, {240, 130, 190, 255},
}

// plotAll writes a PNG file with one tile per site and pattern. Each tile shows the
// fairness gap over time by system, at a lag of 1 s or for systems without lag.
func plotAll(file string, results []result) error {
	tiles, err := newTiles(results)
	if err != nil {
		return err
	}
	const columns = 2
	rows := (len(tiles) + columns - 1) / columns
	img := vgimg.New(columns*tileWidth, vg.Length(rows)*tileHeight)
	canvas := draw.New(img)
	grid := draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Millimeter, PadY: vg.Millimeter}
	for i, p := range tiles {
		p.Draw(grid.At(canvas, i%columns, i/columns))
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	defer out.Close()
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(out)
	return err
}

func newTiles(results []result) ([]*plot.Plot, error) {
	var tiles []*plot.Plot
	var tile *plot.Plot
	title := ""
	for _, r := range results {
		if r.Lag != 0 && r.Lag.Seconds() != 1 {
			continue
		}
		if t := fmt.Sprintf("%s, %s", r.Site, r.Pattern); t != title {
			title = t
			tile = newTile(title)
			tiles = append(tiles, tile)
		}
		if err := addLine(tile, r); err != nil {
			return nil, err
		}
	}
	return tiles, nil
}

func newTile(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = "gap in s of the fleet's service"
	p.Y.Min, p.Y.Max = 0, 2
	p.Legend.Top = true
	return p
}

func addLine(p *plot.Plot, r result) error {
	xy := make(plotter.XYs, 0, len(r.gaps))
	for _, g := range r.gaps {
		xy = append(xy, plotter.XY{X: g.x, Y: min(g.y, p.Y.Max)})
	}
	if len(xy) == 0 {
		return nil
	}
	line, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	for i, c := range systemSpecs {
		if c.name == r.System {
			line.Color = lineColors[i]
		}
	}
	p.Add(line)
	p.Legend.Add(r.System, line)
	return nil
}
