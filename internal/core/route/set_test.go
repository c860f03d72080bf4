package route_test

import (
	"testing"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/route"
)

func TestMatch(t *testing.T) {
	set := route.NewSet(1, []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "orders", Host: "a.example", Prefix: "/orders/"},
		{Name: "old", Host: "a.example", Prefix: "/orders/old/"},
		{Name: "other", Host: "b.example", Prefix: "/orders/"},
	}, nil, nil, route.Limits{})
	tests := map[string]struct {
		host, path string
		want       jaywind.Route
	}{
		"longest prefix":       {"a.example", "/orders/old/1", "old"},
		"shorter prefix":       {"a.example", "/orders/1", "orders"},
		"prefix itself":        {"a.example", "/orders/", "orders"},
		"no slash at the end":  {"a.example", "/orders", "all"},
		"word that goes on":    {"a.example", "/ordersold/1", "all"},
		"other host":           {"b.example", "/orders/1", "other"},
		"host with port":       {"b.example:8740", "/orders/1", "other"},
		"host in capitals":     {"B.Example", "/orders/1", "other"},
		"no route of the host": {"b.example", "/x/1", ""},
		"unknown host":         {"c.example", "/orders/1", ""},
		"empty path":           {"a.example", "", ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var got jaywind.Route
			if r := set.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestRepeatable(t *testing.T) {
	tests := map[string]struct {
		route route.Route
		want  bool
	}{
		"safe":               {route.Route{Kind: route.KindSafe}, true},
		"unsafe":             {route.Route{Kind: route.KindUnsafe}, false},
		"stream":             {route.Route{Kind: route.KindStream}, false},
		"stream with resume": {route.Route{Kind: route.KindStream, Resume: true}, true},
		"unsafe with resume": {route.Route{Kind: route.KindUnsafe, Resume: true}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.route.Repeatable(), c.want) })
	}
}
