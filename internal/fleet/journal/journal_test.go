package journal

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

const secret = "0123456789abcdef"

func serve(t testing.TB, b *Book) *httptest.Server {
	m := http.NewServeMux()
	Register(m, b)
	s := httptest.NewUnstartedServer(cbor.Guard(secret, m))
	s.Config.Protocols = cbor.Protocols()
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// entry makes the record of some of the tokens "0", "1" … with the second byte of a rune cut off.
func entry(a jaywind.Attempt, from, to int) jaywind.Record {
	r := jaywind.Record{Request: "r1", Organisation: "o", Model: "m", From: jaywind.Position(from)}
	for i := range to {
		token := jaywind.Token{ID: jaywind.TokenID(i), Text: fmt.Sprint(i, "\xc3")}
		r.Bookmark.Digest = r.Bookmark.Digest.Add(token)
		if i >= from {
			r.Tokens = append(r.Tokens, token)
		}
	}
	r.Bookmark.Request, r.Bookmark.Attempt, r.Bookmark.Position = "r1", a, jaywind.Position(to)
	return r
}

// onward makes the same record for a peer that has the tokens before from the same attempt.
func onward(a jaywind.Attempt, from, to int) jaywind.Record {
	r := entry(a, from, to)
	r.Before = entry(a, 0, from).Tokens
	return r
}

func TestJournal(t *testing.T) {
	ended := jaywind.Record{Request: "r1", Bookmark: entry(1, 0, 0).Bookmark, Ended: true}
	tests := map[string]struct {
		keep []jaywind.Record
		gap  bool            // after the last
		want *jaywind.Record // nil for none
	}{
		"nothing kept":                {},
		"one batch":                   {keep: []jaywind.Record{entry(1, 0, 3)}, want: ptr(entry(1, 0, 3))},
		"two batches":                 {keep: []jaywind.Record{entry(1, 0, 3), entry(1, 3, 5)}, want: ptr(entry(1, 0, 5))},
		"second batch sent again":     {keep: []jaywind.Record{entry(1, 0, 3), entry(1, 3, 5), entry(1, 3, 5)}, want: ptr(entry(1, 0, 5))},
		"first batch lost":            {keep: []jaywind.Record{entry(1, 3, 5)}, gap: true},
		"middle batch lost":           {keep: []jaywind.Record{entry(1, 0, 2), entry(1, 3, 5)}, gap: true, want: ptr(entry(1, 0, 2))},
		"late batch of older attempt": {keep: []jaywind.Record{entry(9, 0, 3), entry(1, 0, 2)}, want: ptr(entry(9, 0, 3))},
		"late end of older attempt":   {keep: []jaywind.Record{entry(9, 0, 3), ended}, want: ptr(entry(9, 0, 3))},
		"goes on":                     {keep: []jaywind.Record{entry(1, 0, 3), onward(1, 3, 5)}, want: ptr(entry(1, 0, 5))},
		"goes on twice":               {keep: []jaywind.Record{entry(1, 0, 3), onward(1, 3, 5), onward(1, 5, 9)}, want: ptr(entry(1, 0, 9))},
		"goes on, sent again":         {keep: []jaywind.Record{entry(1, 0, 3), onward(1, 3, 5), onward(1, 3, 5)}, want: ptr(entry(1, 0, 5))},
		"goes on, nothing kept":       {keep: []jaywind.Record{onward(1, 3, 5)}, gap: true},
		"goes on, middle batch lost":  {keep: []jaywind.Record{entry(1, 0, 2), onward(1, 3, 5)}, gap: true, want: ptr(entry(1, 0, 2))},
		"goes on, older attempt kept": {keep: []jaywind.Record{entry(1, 0, 3), onward(9, 3, 5)}, gap: true, want: ptr(entry(1, 0, 3))},
		"goes on late, older attempt": {keep: []jaywind.Record{entry(9, 0, 3), onward(1, 3, 5)}, want: ptr(entry(9, 0, 3))},
		"ended":                       {keep: []jaywind.Record{entry(1, 0, 3), ended}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, &Book{})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			client := &Client{HTTP: cbor.NewHTTPClient(secret)}
			defer client.HTTP.CloseIdleConnections()
			at := jaywind.Address(s.URL)
			gap := false
			for _, r := range c.keep {
				gaps, err := client.Keep(ctx, at, []jaywind.Record{r})
				is.NoErr(err)
				gap = len(gaps) > 0
			}
			is.Equal(gap, c.gap)
			got, err := client.Recall(ctx, at, "r1")
			if c.want == nil {
				is.True(errors.Is(err, jaywind.ErrKeyNotFound))
				return
			}
			is.NoErr(err)
			is.Equal(got, *c.want)
		})
	}
}

func ptr(r jaywind.Record) *jaywind.Record { return &r }

func TestBookForgets(t *testing.T) {
	tests := map[string]struct {
		wait  time.Duration
		other int // tokens of another record
		known bool
	}{
		"soon":            {wait: time.Second, known: true},
		"without news":    {wait: recordKeep},
		"too many tokens": {wait: time.Second, other: tokenLimit},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &Book{}
				b.Keep([]jaywind.Record{entry(1, 0, 3)})
				time.Sleep(c.wait)
				b.Keep([]jaywind.Record{{Request: "r2", Tokens: make([]jaywind.Token, c.other)}})
				_, err := b.Recall("r1")
				is.Equal(err == nil, c.known)
				is.True(b.tokens <= tokenLimit)
			})
		})
	}
}

// BenchmarkKeep sends batches of 15 tokens of one request and reports the bytes on the wire.
func BenchmarkKeep(b *testing.B) {
	s := serve(b, &Book{})
	sent := metrics.NewCounter()
	traffic := cbor.Traffic{In: sent, Out: sent}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return traffic.Conn(c), err
	}
	client := &Client{HTTP: &http.Client{Transport: signed{&http.Transport{Protocols: protocols, DialContext: dial}}}}
	const tokens = 15
	for i := 0; b.Loop(); i++ {
		r := entry(1, 0, tokens)
		if _, err := client.Keep(context.Background(), jaywind.Address(s.URL), []jaywind.Record{r}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(sent.Count())/float64(b.N), "B/message")
}

type signed struct{ next http.RoundTripper }

func (s signed) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+secret)
	return s.next.RoundTrip(r)
}
