package scrape

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// ErrFormat is returned for a text that Write has not written.
var ErrFormat = errors.New("not a text of metrics")

// Read returns the values of a text that Write has written, by name and labels as they stand there. A line that can't
// be read gives an error that wraps ErrFormat.
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
