package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
)

const (
	// runsFile is the table of a sweep's runs. It grows by complete rows, so the runs of an interrupted sweep are kept.
	runsFile = "runs.csv"
	// runDigits are the significant digits of figures there.
	runDigits = 6
)

// The columns of the table of runs before those of the fields and the figures.
const (
	versionColumn = iota
	variantColumn
	seedColumn
	firstFieldColumn
)

// runsHead is the head of the table of runs.
func (s *Sweep) runsHead() []string {
	head := make([]string, 0, firstFieldColumn+len(s.Choices)+len(Figures()))
	head = append(head, "version", "variant", "seed")
	for _, choice := range s.Choices {
		head = append(head, choice[0].Field)
	}
	for _, figure := range Figures() {
		head = append(head, figure.Name)
	}
	return head
}

// openRuns opens the table of runs to append to it, and writes its head if it is empty.
func (s *Sweep) openRuns(path string, maybeEmpty bool) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	if !maybeEmpty {
		return file, nil
	}
	if info, err := file.Stat(); err == nil && info.Size() == 0 {
		if err := writeRow(file, s.runsHead()); err != nil {
			file.Close()
			return nil, err
		}
	}
	return file, nil
}

// readRuns reads the rows of the table by their runKey, nil where there is no table. An incomplete last row, which an
// interrupted sweep may leave, is cut off.
func (s *Sweep) readRuns(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	if complete := strings.LastIndexByte(string(text), '\n') + 1; complete < len(text) {
		text = text[:complete]
		if err := os.Truncate(path, int64(complete)); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrLab, err)
		}
	}
	rows, err := csv.NewReader(strings.NewReader(string(text))).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrLab, path, err)
	}
	if len(rows) > 0 && !slices.Equal(rows[0], s.runsHead()) {
		return nil, fmt.Errorf("%w: %s is of another sweep: name another folder", ErrLab, path)
	}
	done := map[string][]string{}
	for _, row := range rows[min(1, len(rows)):] {
		seed, _ := strconv.ParseUint(row[seedColumn], 10, 64)
		done[runKey(row[versionColumn], row[variantColumn], seed)] = row
	}
	return done, nil
}

// runKey identifies a run.
func runKey(version, variant string, seed uint64) string {
	return version + " " + variant + " " + strconv.FormatUint(seed, 10)
}

// writeRow writes a row with one call, so that rows are complete.
func writeRow(w io.Writer, row []string) error {
	var text strings.Builder
	writer := csv.NewWriter(&text)
	_ = writer.Write(row) // a Builder returns no error
	writer.Flush()
	if _, err := io.WriteString(w, text.String()); err != nil {
		return fmt.Errorf("%w: %w", ErrLab, err)
	}
	return nil
}
