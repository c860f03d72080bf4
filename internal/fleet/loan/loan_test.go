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

// purse is a router that may make so many repeats.
type purse struct{ left, asked int }

func (p *purse) Lend(s jaywind.ServiceName) bool {
	p.asked++
	if s != "pool" || p.left == 0 {
		return false
	}
	p.left--
	return true
}

// serve starts a lender and returns its address.
func serve(t *testing.T, p *purse) jaywind.Address {
	t.Helper()
	s := httptest.NewUnstartedServer(loan.NewHandler(p))
	s.Config.Protocols = cbor.Protocols()
	s.Start()
	t.Cleanup(s.Close)
	return jaywind.Address(strings.TrimPrefix(s.URL, "http://"))
}

func TestBorrow(t *testing.T) {
	tests := map[string]struct {
		left    []int // of each lender
		service jaywind.ServiceName
		want    int // repeats that are borrowed in 10 tries
	}{
		"nobody to ask":   {nil, "pool", 0},
		"first has some":  {[]int{4, 0}, "pool", 4},
		"second has some": {[]int{0, 4}, "pool", 4},
		"both":            {[]int{2, 3}, "pool", 5},
		"nobody has any":  {[]int{0, 0, 0}, "pool", 0},
		"another service": {[]int{4}, "desk", 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var lenders []jaywind.Address
			var purses []*purse
			for _, n := range c.left {
				purses = append(purses, &purse{left: n})
				lenders = append(lenders, serve(t, purses[len(purses)-1]))
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
			for _, p := range purses {
				asked += p.asked
			}
			is.True(asked <= 2*c.want+len(purses)) // once there is nothing left, nobody is asked for a while
		})
	}
}

// TestSilentLender: a lender that does not answer costs a stream little time.
func TestSilentLender(t *testing.T) {
	is := is.New(t)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }))
	s.Config.Protocols = cbor.Protocols()
	s.Start()
	defer s.Close()
	at := jaywind.Address(strings.TrimPrefix(s.URL, "http://"))
	b := loan.Borrower{HTTP: cbor.NewHTTPClient(""), Log: zaptest.NewLogger(t),
		Peers: func(int) []jaywind.Address { return []jaywind.Address{at, at, at} }}
	begun := time.Now()
	is.True(!b.Borrow(context.Background(), "pool"))
	is.True(time.Since(begun) < time.Second)
}

// TestLossesOfOneRouter: the pattern is a failure domain whose streams a few of 77 routers carry; they go on as long as
// the fleet's budget lasts, and the fleet never makes more repeats than that.
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
	repeat := func(own int) bool {
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
		if repeat(0) {
			all++
		}
	}
	is.True(alone < 10)                           // its own part is soon spent
	is.True(all > 150)                            // most of the budget is of use to it
	is.True(float64(alone+all) <= 0.8*5*77+150.0) // and no more than there is
}
