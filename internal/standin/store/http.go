package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"jaywind"
)

// Handler returns the HTTP interface of the service, with POST /faults to replace the faults, and POST /copy and /restore for Copy and
// Restore.
func (s *Store) Handler() http.Handler {
	m := httprouter.New()
	m.GET("/kv/*key", s.serveGet)
	m.PUT("/kv/*key", s.servePut)
	m.DELETE("/kv/*key", s.serveDelete)
	m.POST("/leases", s.serveGrant)
	m.PUT("/leases/:lease", s.serveRenew)
	m.POST("/faults", s.serveFaults)
	m.POST("/copy", func(http.ResponseWriter, *http.Request, httprouter.Params) { s.Copy() })
	m.POST("/restore", func(http.ResponseWriter, *http.Request, httprouter.Params) { s.Restore() })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

// eraWriter names the era in the head of an answer.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	named bool
}

// WriteHeader writes the head of an answer.
func (w *eraWriter) WriteHeader(status int) {
	w.named = true
	w.Header().Set("Era", strconv.FormatInt(int64(w.store.Era()), 10))
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *eraWriter) Write(b []byte) (int, error) {
	if !w.named {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	key := keyOf(p)
	old := jaywind.Revision(r.URL.Query().Get("after"))
	limit, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	var e jaywind.Entry
	var err error
	if limit > 0 {
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		e, err = s.Watch(ctx, key, old)
		if ctx.Err() != nil && r.Context().Err() == nil {
			e, err = s.Get(r.Context(), key)
		}
	} else {
		e, err = s.Get(r.Context(), key)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", string(e.Revision))
	_, _ = w.Write(e.Value)
}

// keyOf returns the key of a request; it may contain slashes.
func keyOf(p httprouter.Params) string {
	return strings.TrimPrefix(p.ByName("key"), "/")
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, jaywind.MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	old := jaywind.Revision(r.Header.Get("If-Match"))
	if old == "" && r.Header.Get("If-None-Match") != "*" {
		http.Error(w, "a condition is required", http.StatusPreconditionRequired)
		return
	}
	id := jaywind.LeaseID(r.URL.Query().Get("lease"))
	revision, err := s.SwapLeased(r.Context(), keyOf(p), value, old, id)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", string(revision))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	old := jaywind.Revision(r.Header.Get("If-Match"))
	if old == "" {
		http.Error(w, "a condition is required", http.StatusPreconditionRequired)
		return
	}
	if err := s.Delete(r.Context(), keyOf(p), old); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ms, err := strconv.Atoi(r.URL.Query().Get("ttl"))
	if err != nil || ms <= 0 {
		http.Error(w, "ttl: want milliseconds", http.StatusBadRequest)
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(ms)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Location", string(id))
	w.WriteHeader(http.StatusCreated)
}

func (s *Store) serveRenew(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if err := s.Renew(r.Context(), jaywind.LeaseID(p.ByName("lease"))); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, jaywind.MaxValue)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, jaywind.ErrKeyNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, jaywind.ErrRevisionConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, jaywind.ErrLeaseExpired):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, jaywind.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler) // cuts the connection, as if the reply were lost
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
