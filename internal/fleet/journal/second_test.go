package journal

import (
	"context"
	"fmt"
	"go/build"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"jaywind"
	core "jaywind/internal/core/journal"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/cbor"
)

const (
	routers     = 370
	streams     = 83                    // of one router
	tokenTime   = 34 * time.Millisecond // between two tokens of a stream
	tickTime    = 20 * time.Millisecond
	shortAnswer = 150               // tokens
	longAnswer  = 3500              // tokens, of 3 in 100 answers
	longShare   = 0.03              // of the answers
	vocabulary  = 128_000           // token ids
	warmUp      = 150 * time.Second // virtual, until long answers are as many as ever
	measured    = 60 * time.Second  // virtual
	opticks     = "Isaac.Newton-Opticks.txt"
)

// BenchmarkRouterSecond runs the journal of one router at the target size in virtual time and counts the bytes on the wire.
func BenchmarkRouterSecond(b *testing.B) {
	tests := map[string]bool{"callers keep their tokens": true, "none does": false}
	text := readTokens(b)
	for name, keeps := range tests {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				measure(b, text, keeps)
			}
		})
	}
}

func measure(b *testing.B, text []jaywind.Token, keeps bool) {
	p := newPeers(b)
	f := newFlow(text)
	f.keeps = keeps
	f.run(b, warmUp, p)
	sent, received := p.sent.Count(), p.received.Count()
	messages, taken, spent := f.messages, f.taken, p.spent
	f.run(b, measured, p)
	seconds := measured.Seconds()
	tokens := float64(f.taken - taken)
	b.ReportMetric(float64(p.sent.Count()-sent)/seconds/1000, "KB/s-sent")
	b.ReportMetric(float64(p.received.Count()-received)/seconds/1000, "KB/s-answers")
	b.ReportMetric(float64(f.messages-messages)/seconds, "messages/s")
	b.ReportMetric(tokens/seconds, "tokens/s")
	b.ReportMetric(float64((p.spent-spent).Microseconds())/seconds, "us-calls/s")
	if keeps {
		return
	}
	b.ReportMetric(float64(p.sent.Count()-sent)/tokens, "B/token")
	b.ReportMetric(f.lag(), "tokens-behind")
	b.ReportMetric(float64(f.worst), "tokens-behind-max")
}

// readTokens cuts a text that comes with Go into pieces of the size of usual tokens.
func readTokens(b *testing.B) []jaywind.Token {
	text, err := os.ReadFile(filepath.Join(build.Default.GOROOT, "src", "testdata", opticks))
	if err != nil {
		b.Fatal(err)
	}
	var tokens []jaywind.Token
	for _, word := range regexp.MustCompile(` ?[A-Za-z]{1,7}| ?[0-9]{1,3}| ?[^A-Za-z0-9\s]+|\s`).FindAllString(string(text), -1) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(word))
		tokens = append(tokens, jaywind.Token{ID: jaywind.TokenID(h.Sum32()%vocabulary) + 1, Text: word})
	}
	return tokens
}

// flow is a router's requests, which end and are followed by others.
type flow struct {
	text     []jaywind.Token
	now      time.Time
	state    *table.State
	random   *rand.Rand
	next     map[jaywind.RequestID]time.Time // token
	from     map[jaywind.RequestID]int       // in text
	answers  []table.Event
	keeps    bool
	started  int
	messages int
	taken    int
	ticks    int
	behind   int // tokens that no peer had, summed over ticks and streams
	worst    int
}

func newFlow(text []jaywind.Token) *flow {
	f := &flow{
		text: text, now: time.Unix(1000, 0), state: table.New(3),
		random: rand.New(rand.NewPCG(5, 5)), next: map[jaywind.RequestID]time.Time{}, from: map[jaywind.RequestID]int{},
	}
	f.state.Self, f.state.Domain = "vm0", "d0"
	f.state.Fleet.Members = map[jaywind.VM]*table.Member{}
	for i := 1; i < routers; i++ {
		vm := jaywind.VM(fmt.Sprint("vm", i))
		m := jaywind.Member{VM: vm, Domain: jaywind.Domain(fmt.Sprint("d", i%4)), Fleet: jaywind.Address(vm)}
		f.state.Fleet.Members[vm] = &table.Member{Member: m, Since: f.now}
	}
	return f
}

func (f *flow) run(b *testing.B, span time.Duration, p *peers) {
	f.ticks, f.behind, f.worst = 0, 0, 0
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(tickTime) {
		f.make()
		f.state.BeginTick(f.now, true, f.answers)
		f.answers = nil
		core.Replicator{}.Step(f.state)
		for _, c := range f.state.TakeCommands() {
			k := c.(table.KeepRecords)
			f.messages++
			f.answers = append(f.answers, table.RecordsKept{Peer: k.Peer, Missing: p.keep(b, f.now, k)})
		}
		f.look()
	}
}

// make starts requests and takes the tokens that are due.
func (f *flow) make() {
	for len(f.state.Requests) < streams {
		f.started++
		id := jaywind.RequestID(fmt.Sprintf("0190a1b2-c3d4-7e5f-8a6b-%012d", f.started))
		limit := shortAnswer
		if f.random.Float64() < longShare {
			limit = longAnswer
		}
		f.state.Requests[id] = &table.Request{
			ID: id, Organisation: "harmattan-apapa", Model: "voyage-risk", Version: "2026-11", Seed: 12345, MaxTokens: limit,
			Attempt: 1, Run: 1, Endpoint: "lagos-17", Sent: true,
			KeepsTokens: f.keeps,
		}
		f.from[id] = f.random.IntN(len(f.text) - longAnswer)
		f.next[id] = f.now.Add(time.Duration(f.random.Int64N(int64(time.Second))))
	}
	for id, r := range f.state.Requests {
		for ; !f.next[id].After(f.now); f.next[id] = f.next[id].Add(tokenTime) {
			t := f.text[f.from[id]+len(r.Tokens)]
			r.Tokens = append(r.Tokens, t)
			r.Digest = r.Digest.Add(t)
			f.taken++
		}
		if len(r.Tokens) >= r.MaxTokens {
			delete(f.state.Requests, id)
			delete(f.next, id)
			delete(f.from, id)
		}
	}
}

// look counts the tokens that a loss of the router would leave to the engines.
func (f *flow) look() {
	for id, r := range f.state.Requests {
		w := f.state.Journal.Entries[id]
		if w == nil {
			continue
		}
		behind := len(r.Tokens) - int(w.Sent[w.Peers[0].VM].Position)
		f.worst = max(f.worst, behind)
		f.behind += behind
	}
	f.ticks++
}

// lag returns the mean number of tokens of a stream that no peer has.
func (f *flow) lag() float64 {
	return float64(f.behind) / float64(f.ticks*streams)
}

// peers stands for all other routers, each with a connection that is closed when idle for too long.
type peers struct {
	at       jaywind.Address
	clients  map[jaywind.VM]*Client
	used     map[jaywind.VM]time.Time
	spent    time.Duration
	sent     metrics.Counter
	received metrics.Counter
}

const idleLimit = 5 * time.Second // of the connections between routers

func newPeers(b *testing.B) *peers {
	return &peers{sent: metrics.NewCounter(), received: metrics.NewCounter(), at: jaywind.Address(serve(b, &Book{}).URL), clients: map[jaywind.VM]*Client{}, used: map[jaywind.VM]time.Time{}}
}

func (p *peers) keep(b *testing.B, now time.Time, k table.KeepRecords) []jaywind.RequestID {
	b.Helper()
	c := p.clients[k.Peer]
	if c == nil {
		c = &Client{HTTP: &http.Client{Transport: p.transport()}}
		p.clients[k.Peer] = c
	}
	if now.Sub(p.used[k.Peer]) > idleLimit {
		c.HTTP.CloseIdleConnections()
	}
	p.used[k.Peer] = now
	start := time.Now()
	gaps, err := c.Keep(context.Background(), p.at, k.Records)
	if err != nil {
		b.Fatal(err)
	}
	p.spent += time.Since(start)
	return gaps
}

func (p *peers) transport() http.RoundTripper {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return cbor.Traffic{In: p.received, Out: p.sent}.Conn(c), err
	}
	return closing{signed{&http.Transport{Protocols: protocols, DialContext: dial}}}
}

// closing makes the connections of a signed transport known to the client.
type closing struct{ signed }

// CloseIdleConnections closes them.
func (c closing) CloseIdleConnections() { c.next.(*http.Transport).CloseIdleConnections() }
