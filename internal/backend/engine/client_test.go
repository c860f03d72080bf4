package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	standin "jaywind/internal/standin/engine"
)

const total = 20

var call = jaywind.Call{Request: "r-1", Attempt: 3, Run: 3, Model: "m", Version: "v1", Prompt: "p", Seed: 5, MaxTokens: total}

// resumed returns the call of a later attempt that resumes the same work.
func resumed(from jaywind.Position) jaywind.Call {
	c := call
	c.Attempt, c.Resume, c.Position = 4, true, from
	return c
}

func newEngine(t *testing.T) (*standin.Engine, jaywind.Address) {
	e := &standin.Engine{ID: "e1", Model: "m", Version: "v1", Gap: time.Millisecond, Keep: 50 * time.Millisecond}
	s := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Set(standin.Faults{})
		s.CloseClientConnections()
		s.Close()
		e.Wait()
	})
	return e, jaywind.Address(s.URL)
}

// drain reads a stream to its end frame or its error.
func drain(stream jaywind.Stream) (tokens []jaywind.Token, end jaywind.Frame, err error) {
	for {
		f, err := stream.Next()
		if err != nil || f.End {
			return tokens, f, err
		}
		tokens = append(tokens, f.Token)
	}
}

// TestEngine holds for each jaywind.Engine.
func TestEngine(t *testing.T) {
	whole := standin.Whole("v1", 5, "p", 0, total)
	open := func(ctx context.Context, at jaywind.Address, c jaywind.Call) error {
		s, err := (&Client{}).Open(ctx, at, c)
		if err == nil {
			_ = s.Close()
		}
		return err
	}
	probe := func(ctx context.Context, at jaywind.Address) error {
		_, err := (&Client{}).Probe(ctx, at, call.Work())
		return err
	}
	tests := map[string]struct {
		faults standin.Faults
		run    func(ctx context.Context, at jaywind.Address) error
		want   error
	}{
		"refuses":                 {faults: standin.Faults{Refuse: true}, run: func(ctx context.Context, at jaywind.Address) error { return open(ctx, at, call) }, want: jaywind.ErrBusy},
		"nobody listens":          {run: func(ctx context.Context, _ jaywind.Address) error { return open(ctx, "http://127.0.0.1:1", call) }, want: jaywind.ErrNotSent},
		"resumes unknown work":    {run: func(ctx context.Context, at jaywind.Address) error { return open(ctx, at, resumed(0)) }, want: jaywind.ErrNoStream},
		"probe of unknown work":   {run: probe, want: jaywind.ErrNoStream},
		"probe of paused engine":  {faults: standin.Faults{Pause: true}, run: probe, want: context.DeadlineExceeded},
		"probe without a process": {run: func(ctx context.Context, _ jaywind.Address) error { return probe(ctx, "http://127.0.0.1:1") }, want: jaywind.ErrNotSent},
		"old fencing number": {run: func(ctx context.Context, at jaywind.Address) error {
			if err := (&Client{}).Order(ctx, at, jaywind.Order{Fence: 9, Version: "v2", Action: jaywind.ActionLoad}); err != nil {
				return err
			}
			return (&Client{}).Order(ctx, at, jaywind.Order{Fence: 8, Version: "v2", Action: jaywind.ActionUnload})
		}, want: jaywind.ErrFenced},
		"stream from its start": {run: func(ctx context.Context, at jaywind.Address) error {
			return same(ctx, at, call, whole)
		}},
		"stream with a prefix": {run: func(ctx context.Context, at jaywind.Address) error {
			c := call
			c.Position, c.Prefix = 7, whole[:7]
			return same(ctx, at, c, whole[7:])
		}},
		"resumed after the connection": {run: func(ctx context.Context, at jaywind.Address) error {
			s, err := (&Client{}).Open(ctx, at, call)
			if err != nil {
				return err
			}
			_, err = s.Next()
			_ = s.Close()
			return errors.Join(err, same(ctx, at, resumed(1), whole[1:]))
		}},
		"old cancel does not end it": {run: func(ctx context.Context, at jaywind.Address) error {
			if err := open(ctx, at, call); err != nil {
				return err
			}
			s, err := (&Client{}).Open(ctx, at, resumed(0))
			if err != nil {
				return err
			}
			defer func() { _ = s.Close() }()
			if err := (&Client{}).Cancel(ctx, at, call.Work(), 3); err != nil {
				return err
			}
			tokens, _, err := drain(s)
			return errors.Join(err, differ(tokens, whole))
		}},
		"another run of the request": {run: func(ctx context.Context, at jaywind.Address) error {
			s, err := (&Client{}).Open(ctx, at, call)
			if err != nil {
				return err
			}
			defer func() { _ = s.Close() }()
			other := call
			other.Run, other.Attempt, other.Seed = 9, 9, 6
			if err := open(ctx, at, other); err != nil {
				return err
			}
			tokens, _, err := drain(s)
			return errors.Join(err, differ(tokens, whole))
		}},
		"cut": {faults: standin.Faults{Cut: 5}, run: func(ctx context.Context, at jaywind.Address) error {
			return same(ctx, at, call, whole)
		}, want: io.ErrUnexpectedEOF},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, at := newEngine(t)
			e.Set(c.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			err := c.run(ctx, at)
			if c.want == nil {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, c.want))
		})
	}
}

// same opens a stream and compares its tokens, end and digest.
func same(ctx context.Context, at jaywind.Address, c jaywind.Call, want []jaywind.Token) error {
	s, err := (&Client{}).Open(ctx, at, c)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	tokens, end, err := drain(s)
	if err != nil {
		return err
	}
	if end.Request != c.Request || end.Attempt != c.Attempt || end.Position != total {
		return fmt.Errorf("end: %+v", end)
	}
	return differ(tokens, want)
}

func differ(tokens, want []jaywind.Token) error {
	if jaywind.DigestOf(tokens) != jaywind.DigestOf(want) || len(tokens) != len(want) {
		return fmt.Errorf("got %v, want %v", tokens, want)
	}
	return nil
}

func TestBadFrames(t *testing.T) {
	tests := map[string]struct {
		data string
		want string // in the error
	}{
		"not JSON":        {data: `{`, want: "JSON"},
		"wrong type":      {data: `{"position":"1","choices":[{}]}`, want: "position"},
		"negative":        {data: `{"position":-1,"choices":[{}]}`, want: "position"},
		"no choice":       {data: `{"position":1}`, want: "choices"},
		"end, no digest":  {data: `{"position":1,"choices":[{"finish_reason":"stop"}]}`, want: "digest"},
		"bad digest":      {data: `{"position":1,"digest":"zz","choices":[{}]}`, want: "digest"},
		"bytes not coded": {data: `{"position":1,"bytes":"%%","choices":[{}]}`, want: "base64"},
		"over-long":       {data: `{"id":"` + strings.Repeat("x", frameLimit) + `"}`, want: "event"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "data: %s\n\n", c.data)
			}))
			defer s.Close()
			stream, err := (&Client{}).Open(context.Background(), jaywind.Address(s.URL), call)
			is.NoErr(err)
			defer func() { _ = stream.Close() }()
			_, err = stream.Next()
			is.True(errors.Is(err, jaywind.ErrBadFrame))
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// TestFrameNamesItsWork reads frames that bear the name of other work than the call's.
func TestFrameNamesItsWork(t *testing.T) {
	tests := map[string]struct {
		name string
		own  bool
	}{
		"the call's":                           {name: "r-1.3", own: true},
		"another run of the request":           {name: "r-1.4"},
		"the first run of a request named r":   {name: "r.1"},
		"a request whose run is the call's id": {name: "r-1"},
		"none":                                 {name: ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"attempt\":3,\"choices\":[{}]}\n\n", c.name)
			}))
			defer s.Close()
			stream, err := (&Client{}).Open(context.Background(), jaywind.Address(s.URL), call)
			is.NoErr(err)
			defer func() { _ = stream.Close() }()
			f, err := stream.Next()
			is.NoErr(err)
			is.Equal(f.Request == call.Request, c.own)
		})
	}
}

func FuzzFrame(f *testing.F) {
	f.Add([]byte(`{"id":"r.1","attempt":1,"position":3,"token":9,"bytes":"ww==","choices":[{"text":""}]}`))
	f.Add([]byte(`{"position":3,"digest":"ff","choices":[{"finish_reason":"stop"}]}`))
	f.Add([]byte(`{"choices":[{},{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var c chunk
		if json.Unmarshal(data, &c) != nil {
			return
		}
		frame, err := c.frame()
		is := is.New(t)
		if err != nil {
			is.True(errors.Is(err, jaywind.ErrBadFrame))
			return
		}
		is.True(frame.Position >= 0)
		is.Equal(tokenOf(pieceOf(frame.Token)), frame.Token)
		is.True(!frame.End || frame.Token == jaywind.Token{})
	})
}
