package cuts_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/operator/cuts"
	"jaywind/internal/operator/logs"
)

// TestEachCutIsNamed fails if a request that ended without a whole answer is named by no line, or if a burst of them costs a line each.
func TestEachCutIsNamed(t *testing.T) {
	for _, n := range []int{1, 70, 900} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			l, err := logs.New("info", &out)
			is.NoErr(err)
			c := cuts.Recorder{Log: l.Complete}
			for i := range n {
				c.Record(zap.WarnLevel, "stream: given up", jaywind.RequestID(fmt.Sprintf("id%03d.", i)), "deadline", zap.Int("sends", 5))
			}
			c.Close()
			l.Close()
			for i := range n {
				is.Equal(strings.Count(out.String(), fmt.Sprintf("id%03d.", i)), 1)
			}
			is.True(strings.Count(out.String(), "\n") <= 60)
		})
	}
}
