//go:build !race

package bubble

import (
	"testing"
	"testing/synctest"
)

// Test runs f in a new bubble and returns when all goroutines of the bubble have ended.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
