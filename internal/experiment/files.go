package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// WriteTables writes NAME.csv of the first table and NAME.md of all, into a folder that is made if absent.
func WriteTables(folder, name string, tables []*Table) error {
	if err := writeFile(folder, name+".csv", tables[0].CSV); err != nil {
		return err
	}
	return writeFile(folder, name+".md", func(w io.Writer) error {
		for _, table := range tables {
			if err := table.Markdown(w); err != nil {
				return err
			}
		}
		return nil
	})
}

// WriteChart writes NAME.svg, into a folder that is made if absent. The origin is the seed and version behind the
// chart.
func WriteChart(folder, name, title, origin, xLabel, yLabel string, lines []Line) error {
	return writeFile(folder, name+".svg", func(w io.Writer) error {
		return Chart(w, title, origin, xLabel, yLabel, lines)
	})
}

// writeFile writes a file of a folder with a function that writes its content.
func writeFile(folder, name string, content func(io.Writer) error) error {
	err := os.MkdirAll(folder, 0o755)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLab, err)
	}
	file, err := os.Create(filepath.Join(folder, name))
	if err == nil {
		err = content(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLab, err)
	}
	return nil
}
