package vms

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	standin "jaywind/internal/standin/vms"
)

func answering(body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	})
}

func TestList(t *testing.T) {
	list := &standin.List{}
	list.Set([]standin.Machine{{VM: "vm1", Domain: "a", Fleet: "http://10.0.0.1:8301", Entry: "http://10.0.0.1:8101", Leaving: true}})
	late := &standin.List{Lag: time.Hour}
	late.Set([]standin.Machine{{VM: "vm1"}})
	down := &standin.List{}
	down.SetFaults(standin.Faults{Down: true})
	tests := map[string]struct {
		handler http.Handler
		want    []jaywind.ListedVM
		fault   string
	}{
		"a row":           {handler: list.Handler(), want: []jaywind.ListedVM{{VM: "vm1", Domain: "a", Fleet: "http://10.0.0.1:8301", Entry: "http://10.0.0.1:8101", Leaving: true}}},
		"list lags":       {handler: late.Handler()},
		"list is down":    {handler: down.Handler(), fault: "status 503"},
		"unknown field":   {handler: answering(`[{"vm":"vm1","zone":3}]`), want: []jaywind.ListedVM{{VM: "vm1"}}},
		"wrong type":      {handler: answering(`[{"vm":"vm1","leaving":"yes"}]`), fault: "leaving"},
		"name missing":    {handler: answering(`[{"domain":"a"}]`), fault: "row 0: vm is missing"},
		"no JSON":         {handler: answering(`hello`), fault: "vm list"},
		"cut in the text": {handler: answering(`[{"vm":"v`), fault: "vm list"},
		"far too long":    {handler: answering(`["` + strings.Repeat("x", bodyLimit) + `"]`), fault: "vm list"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(c.handler)
			defer s.Close()
			got, err := (&Client{URL: jaywind.Address(s.URL)}).List(context.Background())
			is.Equal(err != nil, c.fault != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), c.fault))
			}
			is.Equal(got, c.want)
		})
	}
}
