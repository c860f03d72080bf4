package scrape

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// ErrFormat wraps the error for a line that is not a metric.
var ErrFormat = errors.New("not in the metrics text format")

// Read parses the output of Write and returns the values by metric name with its labels. If a line can't be parsed, the
// error wraps ErrFormat.
func Read(r io.Reader) (map[string]float64, error) {
	values := map[string]float64{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		name, text, found := strings.Cut(line, " ")
		v, err := strconv.ParseFloat(text, 64)
		if !found || err != nil {
			return nil, fmt.Errorf("%w: %.80q", ErrFormat, line)
		}
		values[name] = v
	}
	return values, lines.Err()
}
