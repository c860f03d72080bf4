package cbor

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
)

// TestEndlessResponses guards against a response that is read until the call's deadline, as it never ends.
func TestEndlessResponses(t *testing.T) {
	block := []byte(strings.Repeat("x", 16<<10))
	flood := func(w http.ResponseWriter) {
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}
	tests := map[string]http.HandlerFunc{
		"message": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/cbor")
			flood(w)
		},
		"error": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			flood(w)
		},
		"other content": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain")
			flood(w)
		},
		"head": func(w http.ResponseWriter, _ *http.Request) {
			for i := range 600 {
				w.Header().Set("A"+strings.Repeat("x", i), strings.Repeat("x", 10<<10))
			}
		},
		"interim responses": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				w.WriteHeader(http.StatusEarlyHints)
			}
		},
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewUnstartedServer(handler)
			server.Config.Protocols = Protocols()
			server.Start()
			defer server.Close()
			client := NewHTTPClient("")
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := connect.NewClient[note, note](client, server.URL+"/note", ClientOptions()...).CallUnary(ctx, connect.NewRequest(&note{}))
			runtime.ReadMemStats(&after)
			t.Logf("%d KB allocated: %v", (after.TotalAlloc-before.TotalAlloc)>>10, err)
			is.True(err != nil)
			is.True(ctx.Err() == nil)
			is.True(!errors.Is(err, context.DeadlineExceeded))
		})
	}
}
