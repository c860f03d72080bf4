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
	routers       = 370
	streams       = 83                    // concurrent requests of one router
	tokenInterval = 34 * time.Millisecond // between two tokens of a stream
	tickInterval  = 20 * time.Millisecond
	shortAnswer   = 150               // tokens
	longAnswer    = 3500              // tokens; 3 in 100 answers are long
	longShare     = 0.03              // fraction of long answers
	vocabulary    = 128_000           // number of token IDs
	warmUpTime    = 150 * time.Second // virtual; long enough for the number of long answers to reach its steady state
	measuredTime  = 60 * time.Second  // virtual
	corpusFile    = "Isaac.Newton-Opticks.txt"
)

// BenchmarkRouterSecond runs the journal of one router at the target fleet size in virtual
// time and reports the bytes on the wire per second.
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

// measure reports the metrics of measuredTime, after warmUpTime.
func measure(b *testing.B, text []jaywind.Token, keeps bool) {
	p := newPeers(b)
	w := newWorkload(text)
	w.callersKeepTokens = keeps
	w.run(b, warmUpTime, p)
	sentBefore, receivedBefore := p.sent.Count(), p.received.Count()
	messagesBefore, tokensBefore, callTimeBefore := w.messages, w.tokens, p.callTime
	w.run(b, measuredTime, p)
	seconds := measuredTime.Seconds()
	tokens := float64(w.tokens - tokensBefore)
	b.ReportMetric(float64(p.sent.Count()-sentBefore)/seconds/1000, "KB/s-sent")
	b.ReportMetric(float64(p.received.Count()-receivedBefore)/seconds/1000, "KB/s-answers")
	b.ReportMetric(float64(w.messages-messagesBefore)/seconds, "messages/s")
	b.ReportMetric(tokens/seconds, "tokens/s")
	b.ReportMetric(float64((p.callTime-callTimeBefore).Microseconds())/seconds, "us-calls/s")
	if keeps {
		return
	}
	b.ReportMetric(float64(p.sent.Count()-sentBefore)/tokens, "B/token")
	b.ReportMetric(w.meanLag(), "tokens-behind")
	b.ReportMetric(float64(w.maxLag), "tokens-behind-max")
}

// readTokens splits a text from the Go source tree into pieces about as long as the tokens of
// a language model.
func readTokens(b *testing.B) []jaywind.Token {
	text, err := os.ReadFile(filepath.Join(build.Default.GOROOT, "src", "testdata", corpusFile))
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

// workload simulates the requests of one router; each request that ends is replaced by a
// new one.
type workload struct {
	text              []jaywind.Token
	now               time.Time
	state             *table.State
	random            *rand.Rand
	nextTokenAt       map[jaywind.RequestID]time.Time // when the next token is due
	textOffset        map[jaywind.RequestID]int       // index in text of the first token
	events            []table.Event                   // for the next tick
	callersKeepTokens bool
	started           int
	messages          int
	tokens            int
	ticks             int
	lagSum            int // tokens that no peer has, summed over ticks and streams
	maxLag            int
}

func newWorkload(text []jaywind.Token) *workload {
	w := &workload{
		text: text, now: time.Unix(1000, 0), state: table.New(3),
		random: rand.New(rand.NewPCG(5, 5)), nextTokenAt: map[jaywind.RequestID]time.Time{}, textOffset: map[jaywind.RequestID]int{},
	}
	w.state.Self, w.state.Domain = "vm0", "d0"
	w.state.Fleet.Members = map[jaywind.VM]*table.Member{}
	for i := 1; i < routers; i++ {
		vm := jaywind.VM(fmt.Sprint("vm", i))
		m := jaywind.Member{VM: vm, Domain: jaywind.Domain(fmt.Sprint("d", i%4)), Fleet: jaywind.Address(vm)}
		w.state.Fleet.Members[vm] = &table.Member{Member: m, Since: w.now}
	}
	return w
}

func (w *workload) run(b *testing.B, span time.Duration, p *peers) {
	w.ticks, w.lagSum, w.maxLag = 0, 0, 0
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(tickInterval) {
		w.make()
		w.state.BeginTick(w.now, true, w.events)
		w.events = nil
		core.Replicator{}.Step(w.state)
		for _, c := range w.state.TakeCommands() {
			k := c.(table.KeepRecords)
			w.messages++
			w.events = append(w.events, table.RecordsKept{Peer: k.Peer, Missing: p.keep(b, w.now, k)})
		}
		w.sampleLag()
	}
}

// make starts requests up to the limit and appends the tokens that are due.
func (w *workload) make() {
	for len(w.state.Requests) < streams {
		w.started++
		id := jaywind.RequestID(fmt.Sprintf("0190a1b2-c3d4-7e5f-8a6b-%012d", w.started))
		limit := shortAnswer
		if w.random.Float64() < longShare {
			limit = longAnswer
		}
		w.state.Requests[id] = &table.Request{
			ID: id, Organisation: "harmattan-apapa", Model: "voyage-risk", Version: "2026-11", Seed: 12345, MaxTokens: limit,
			Attempt: 1, Run: 1, Endpoint: "lagos-17", Sent: true,
			KeepsTokens: w.callersKeepTokens,
		}
		w.textOffset[id] = w.random.IntN(len(w.text) - longAnswer)
		w.nextTokenAt[id] = w.now.Add(time.Duration(w.random.Int64N(int64(time.Second))))
	}
	for id, r := range w.state.Requests {
		for ; !w.nextTokenAt[id].After(w.now); w.nextTokenAt[id] = w.nextTokenAt[id].Add(tokenInterval) {
			t := w.text[w.textOffset[id]+len(r.Tokens)]
			r.Tokens = append(r.Tokens, t)
			r.Digest = r.Digest.Add(t)
			w.tokens++
		}
		if len(r.Tokens) >= r.MaxTokens {
			delete(w.state.Requests, id)
			delete(w.nextTokenAt, id)
			delete(w.textOffset, id)
		}
	}
}

// sampleLag counts the tokens that no peer has, which would have to be recomputed if the
// router were lost.
func (w *workload) sampleLag() {
	for id, r := range w.state.Requests {
		entry := w.state.Journal.Entries[id]
		if entry == nil {
			continue
		}
		behind := len(r.Tokens) - int(entry.Sent[entry.Peers[0].VM].Position)
		w.maxLag = max(w.maxLag, behind)
		w.lagSum += behind
	}
	w.ticks++
}

// meanLag returns the mean number of tokens of a stream that no peer has.
func (w *workload) meanLag() float64 {
	return float64(w.lagSum) / float64(w.ticks*streams)
}

// peers stands in for all other routers, each with its own connection, which is closed after
// it has been idle for idleTimeout.
type peers struct {
	address  jaywind.Address
	clients  map[jaywind.VM]*Client
	usedAt   map[jaywind.VM]time.Time
	callTime time.Duration
	sent     metrics.Counter
	received metrics.Counter
}

const idleTimeout = 5 * time.Second // as for the connections between routers

func newPeers(b *testing.B) *peers {
	return &peers{sent: metrics.NewCounter(), received: metrics.NewCounter(), address: jaywind.Address(newServer(b, &RecordStore{}).URL), clients: map[jaywind.VM]*Client{}, usedAt: map[jaywind.VM]time.Time{}}
}

func (p *peers) keep(b *testing.B, now time.Time, k table.KeepRecords) []jaywind.RequestID {
	b.Helper()
	c := p.clients[k.Peer]
	if c == nil {
		c = &Client{HTTP: &http.Client{Transport: p.transport()}}
		p.clients[k.Peer] = c
	}
	if now.Sub(p.usedAt[k.Peer]) > idleTimeout {
		c.HTTP.CloseIdleConnections()
	}
	p.usedAt[k.Peer] = now
	start := time.Now()
	gaps, err := c.Keep(context.Background(), p.address, k.Records)
	if err != nil {
		b.Fatal(err)
	}
	p.callTime += time.Since(start)
	return gaps
}

func (p *peers) transport() http.RoundTripper {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return cbor.TrafficCounter{In: p.received, Out: p.sent}.Conn(c), err
	}
	return idleCloser{secretTransport{&http.Transport{Protocols: protocols, DialContext: dial}}}
}

// idleCloser lets http.Client close the idle connections of the transport inside a
// secretTransport.
type idleCloser struct{ secretTransport }

// CloseIdleConnections closes the idle connections of the inner transport.
func (c idleCloser) CloseIdleConnections() { c.next.(*http.Transport).CloseIdleConnections() }
