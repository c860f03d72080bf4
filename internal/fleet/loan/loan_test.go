package loan_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zaptest"

	"jaywind"
	"jaywind/internal/core/retry"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/loan"
)

// fakeLender lends a fixed number of retries and counts the calls.
type fakeLender struct{ left, asked int }

func (f *fakeLender) LendRetry(s jaywind.ServiceName) bool {
	f.asked++
	if s != "pool" || f.left == 0 {
		return false
	}
	f.left--
	return true
}

// serve starts the handler of a lender and returns its address.
func serve(t *testing.T, f *fakeLender) jaywind.Address {
	t.Helper()
	s := httptest.NewUnstartedServer(loan.NewHandler(f))
	s.Config.Protocols = cbor.Protocols()
	s.Start()
	t.Cleanup(s.Close)
	return jaywind.Address(strings.TrimPrefix(s.URL, "http://"))
}

func TestBorrow(t *testing.T) {
	tests := map[string]struct {
		left    []int // retries of each lender
		service jaywind.ServiceName
		want    int // retries borrowed in 10 calls
	}{
		"no lenders":        {nil, "pool", 0},
		"first has some":    {[]int{4, 0}, "pool", 4},
		"second has some":   {[]int{0, 4}, "pool", 4},
		"both":              {[]int{2, 3}, "pool", 5},
		"no lender has any": {[]int{0, 0, 0}, "pool", 0},
		"another service":   {[]int{4}, "desk", 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var lenders []jaywind.Address
			var fakes []*fakeLender
			for _, n := range c.left {
				fakes = append(fakes, &fakeLender{left: n})
				lenders = append(lenders, serve(t, fakes[len(fakes)-1]))
			}
			peers := func(most int) []jaywind.Address { return lenders[:min(most, len(lenders))] }
			b := loan.Borrower{HTTP: cbor.NewHTTPClient(""), Peers: peers, Log: zaptest.NewLogger(t)}
			got := 0
			for range 10 {
				if b.Borrow(context.Background(), c.service) {
					got++
				}
			}
			is.Equal(got, c.want)
			asked := 0
			for _, f := range fakes {
				asked += f.asked
			}
			is.True(asked <= 2*c.want+len(fakes)) // after a refusal by all lenders none is asked for a while
		})
	}
}

// TestSilentLender checks that lenders that do not answer delay a stream by less than a second.
func TestSilentLender(t *testing.T) {
	is := is.New(t)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }))
	s.Config.Protocols = cbor.Protocols()
	s.Start()
	defer s.Close()
	at := jaywind.Address(strings.TrimPrefix(s.URL, "http://"))
	b := loan.Borrower{HTTP: cbor.NewHTTPClient(""), Log: zaptest.NewLogger(t),
		Peers: func(int) []jaywind.Address { return []jaywind.Address{at, at, at} }}
	start := time.Now()
	is.True(!b.Borrow(context.Background(), "pool"))
	is.True(time.Since(start) < time.Second)
}

// TestLossesOfOneRouter models the loss of a failure domain whose streams are carried by a few of 77
// routers, and simulates one of them. It must be able to use the fleet's retry budget, and the fleet
// must not make more retries than the budget allows.
func TestLossesOfOneRouter(t *testing.T) {
	is := is.New(t)
	const routers, requests = 77, 5
	now := time.Unix(1000, 0)
	fleet := make([]retry.Budget, routers)
	for i := range fleet {
		fleet[i] = retry.Budget{Ratio: 0.8, Reserve: 150, Window: 10 * time.Second}
		for range requests {
			fleet[i].RecordRequest(now)
		}
	}
	tryRetry := func(own int) bool {
		if fleet[own].Take(now, routers) {
			return true
		}
		for i := range fleet {
			if i != own && fleet[i].Lend(now, routers) {
				return true
			}
		}
		return false
	}
	alone, all := 0, 0
	for range 20 {
		if fleet[0].Take(now, routers) {
			alone++
		}
	}
	for range 10000 {
		if tryRetry(0) {
			all++
		}
	}
	is.True(alone < 10)                           // its own share is soon spent
	is.True(all > 150)                            // it can use most of the budget
	is.True(float64(alone+all) <= 0.8*5*77+150.0) // the budget is not exceeded
}
