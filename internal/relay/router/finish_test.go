package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/route"
	"jaywind/internal/relay/router"
)

// TestCannotFinish fails if a router that is about to exit takes a request that will not end in time, such as one of a route without a limit
// of time.
func TestCannotFinish(t *testing.T) {
	tests := map[string]struct {
		route     route.Route
		remaining time.Duration
		want      bool
	}{
		"not stopping":            {route.Route{}, 0, false},
		"plain, time left":        {route.Route{Timeout: time.Second}, 1100 * time.Millisecond, false},
		"plain, little time left": {route.Route{Timeout: time.Second}, 900 * time.Millisecond, true},
		"plain, long limit":       {route.Route{Timeout: time.Minute}, 2 * time.Second, false},
		"plain, without a limit":  {route.Route{}, time.Millisecond, true},
		"unsafe, without a limit": {route.Route{Kind: route.KindUnsafe}, 200 * time.Millisecond, true},
		"unsafe, time left":       {route.Route{Kind: route.KindUnsafe, Timeout: time.Second}, 1100 * time.Millisecond, false},
		"unsafe, long limit":      {route.Route{Kind: route.KindUnsafe, Timeout: time.Minute}, 2 * time.Second, true},
		"unsafe, caller's limit":  {route.Route{Kind: route.KindUnsafe, Timeout: time.Minute}, 4 * time.Second, false},
		"stream, without a limit": {route.Route{Kind: route.KindStream}, 2 * time.Second, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			c.route.Host, c.route.Prefix = "a", "/"
			r := &router.Router{}
			r.SetConfig(route.NewSet(1, []route.Route{c.route}, nil, nil, route.Limits{}))
			is.New(t).Equal(r.CannotFinish(&router.Request{Host: "a", Path: "/x", Timeout: 3 * time.Second}, c.remaining), c.want)
		})
	}
}
