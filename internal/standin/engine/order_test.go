package engine_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/matryer/is"

	"jaywind"
	backend "jaywind/internal/backend/engine"
	"jaywind/internal/standin/engine"
)

func TestOrders(t *testing.T) {
	load := func(fence jaywind.Fence) jaywind.Order {
		return jaywind.Order{Fence: fence, Model: "heat", Version: "v2", Action: jaywind.ActionLoad}
	}
	unload := func(fence jaywind.Fence) jaywind.Order {
		return jaywind.Order{Fence: fence, Model: "heat", Version: "v2", Action: jaywind.ActionUnload}
	}
	tests := map[string]struct {
		faults engine.OrderFaults
		orders []jaywind.Order
		want   error // of the last order
		loaded bool
	}{
		"load":                {orders: []jaywind.Order{load(1)}, loaded: true},
		"load and unload":     {orders: []jaywind.Order{load(1), unload(2)}},
		"old number":          {orders: []jaywind.Order{load(2), unload(1)}, want: jaywind.ErrFenced, loaded: true},
		"old number, ignored": {faults: engine.OrderFaults{Unfenced: true}, orders: []jaywind.Order{load(2), unload(1)}},
		"lost":                {faults: engine.OrderFaults{Ignore: 1}, orders: []jaywind.Order{load(1)}},
		"lost and repeated":   {faults: engine.OrderFaults{Ignore: 1}, orders: []jaywind.Order{load(1), load(1)}, loaded: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &engine.Engine{ID: "e1", Model: "heat", Version: "v1"}
			server := httptest.NewServer(e.Handler())
			defer server.Close()
			e.SetOrderFaults(c.faults)
			at := jaywind.Address(server.URL)
			client := &backend.Client{}
			var err error
			for _, o := range c.orders {
				err = client.Order(context.Background(), at, o)
				e.Wait()
			}
			is.True(errors.Is(err, c.want))
			l, err := client.Load(context.Background(), at)
			is.NoErr(err)
			is.Equal(slices.Contains(l.Loaded, "v2"), c.loaded)
		})
	}
}
