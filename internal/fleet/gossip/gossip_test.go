package gossip

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

const secret = "secret-of-the-gossip-tests"

// echo answers a message with itself and holds two chunks of rules.
type echo struct{}

func (echo) Gossip(_ context.Context, g jaywind.Gossip) (jaywind.Gossip, error) {
	if g.From.VM == "refused" {
		return g, errors.New("stopped")
	}
	return g, nil
}

func (echo) RulesHead() jaywind.RulesHead {
	return jaywind.RulesHead{Version: 7, Chunks: []jaywind.ChunkID{"a", "b"}}
}

func (echo) RulesChunks(ids []jaywind.ChunkID) ([]string, error) {
	if len(ids) > 2 {
		return nil, jaywind.ErrKeyNotFound
	}
	return []string{"text of a", "text of b"}[:len(ids)], nil
}

func newServer(t testing.TB) jaywind.Address {
	server := httptest.NewUnstartedServer(cbor.Guard(secret, NewHandler(echo{})))
	server.Config.Protocols = cbor.Protocols()
	server.Start()
	t.Cleanup(server.Close)
	return jaywind.Address(server.URL)
}

func row(i int) jaywind.Member {
	return jaywind.Member{
		VM:          jaywind.VM(fmt.Sprintf("vm%04d", i)),
		Domain:      "south-2",
		Fleet:       jaywind.Address(fmt.Sprintf("http://10.20.30.%d:8301", 100+i%100)),
		Entry:       jaywind.Address(fmt.Sprintf("http://10.20.30.%d:8101", 100+i%100)),
		Incarnation: 1_800_000_000_000,
		Liveness:    jaywind.LivenessSuspect,
		Leaving:     true,
		Rules:       830,
	}
}

// messageWith returns a message of n rows beside the sender's.
func messageWith(n int) jaywind.Gossip {
	g := jaywind.Gossip{From: row(0), StoreAge: 3 * time.Second}
	for i := range n {
		g.Members = append(g.Members, row(i+1))
	}
	return g
}

func TestExchange(t *testing.T) {
	at := newServer(t)
	full := messageWith(3)
	full.Notes = []jaywind.Note{{Kind: "verdict", Key: "heat", Value: []byte{1, 2}}}
	full.Relay = "http://10.0.0.9:8301"
	full.Reached, full.WantFullTable, full.FullTable = true, true, true
	full.Ages = []time.Duration{0, time.Minute, 0}
	tests := map[string]struct {
		message jaywind.Gossip
		secret  string
		at      jaywind.Address
		ok      bool
	}{
		"all fields":       {message: full, secret: secret, at: at, ok: true},
		"no store, no row": {message: jaywind.Gossip{From: row(0), StoreAge: -1 * time.Millisecond}, secret: secret, at: at, ok: true},
		"wrong secret":     {message: full, secret: "another", at: at},
		"refused":          {message: jaywind.Gossip{From: jaywind.Member{VM: "refused"}}, secret: secret, at: at},
		"nobody listens":   {message: full, secret: secret, at: "http://127.0.0.1:1"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			client := &Client{HTTP: cbor.NewHTTPClient(c.secret)}
			got, err := client.Exchange(ctx, c.at, c.message)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(got, c.message)
			}
		})
	}
}

func TestCopy(t *testing.T) {
	is := is.New(t)
	at := newServer(t)
	client := &Client{HTTP: cbor.NewHTTPClient(secret)}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	h, err := client.Head(ctx, at)
	is.NoErr(err)
	is.Equal(h, echo{}.RulesHead())
	texts, err := client.Chunks(ctx, at, h.Chunks)
	is.NoErr(err)
	is.Equal(texts, []string{"text of a", "text of b"})
	_, err = client.Chunks(ctx, at, []jaywind.ChunkID{"a", "b", "c"})
	is.True(err != nil)
}

func TestBadInput(t *testing.T) {
	at := newServer(t)
	tests := map[string]struct {
		body   string
		status int
	}{
		"no CBOR":        {"hello", http.StatusBadRequest},
		"wrong type":     {"\xa1\x61\x66\x61\x78", http.StatusBadRequest}, // {"f": "x"}
		"nothing":        {"", http.StatusNotImplemented},
		"far too long":   {strings.Repeat("x", 5<<20), http.StatusTooManyRequests},
		"unknown fields": {"\xa1\x61\x7a\x01", http.StatusOK}, // {"z": 1}
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := http.NewRequest(http.MethodPost, string(at)+exchangePath, bytes.NewReader([]byte(c.body)))
			is.NoErr(err)
			r.Header.Set("Authorization", "Bearer "+secret)
			r.Header.Set("Content-Type", "application/cbor")
			response, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			_ = response.Body.Close()
			is.Equal(response.StatusCode, c.status)
		})
	}
}

// BenchmarkExchange measures both ends of a usual message on one machine, and its size.
func BenchmarkExchange(b *testing.B) {
	at := newServer(b)
	client := &Client{HTTP: cbor.NewHTTPClient(secret)}
	for _, rows := range []int{3, 14, 370} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			g := messageWith(rows)
			w := messageOf(g)
			text, err := cbor.Codec{}.Marshal(&w)
			if err != nil {
				b.Fatal(err)
			}
			before := processorTime(b)
			for b.Loop() {
				if _, err := client.Exchange(b.Context(), at, g); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}

// processorTime returns what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
