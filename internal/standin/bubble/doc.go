// Package bubble runs tests in bubbles of testing/synctest, also under the race detector:
//
//	bubble.Test(t, func(t *testing.T) {
//		time.Sleep(time.Hour) // returns at once
//	})
package bubble
