package router

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"jaywind/internal/core/route"
)

const sampleSize, sampleAlpha = 256, 0.015 // of the histograms: the last minutes at a few values a second

var kindNames = map[route.Kind]string{route.KindSafe: "safe", route.KindUnsafe: "unsafe", route.KindStream: "stream"}

// meter counts what becomes of calls.
type meter struct {
	registry metrics.Registry

	version, endpoints, members   metrics.Gauge
	missed, exhausted, gone       metrics.Counter
	broken, copyUsed, copyMissing metrics.Counter
	recalled, recallMissed        metrics.Counter
	copyMade, copyFailed          metrics.Counter
	identified, borrowed          metrics.Counter
	first, pause                  metrics.Histogram // milliseconds
	whole                         map[route.Kind]metrics.Histogram
}

func (m *meter) register(r metrics.Registry) {
	m.registry = r
	m.version = metrics.GetOrRegisterGauge("config.version", r)
	m.endpoints = metrics.GetOrRegisterGauge("endpoints", r)
	m.members = metrics.GetOrRegisterGauge("members", r)
	m.missed = metrics.GetOrRegisterCounter("sends.not_run", r)
	m.exhausted = metrics.GetOrRegisterCounter("repeats.over_budget", r)
	m.borrowed = metrics.GetOrRegisterCounter("repeats.borrowed", r)
	m.gone = metrics.GetOrRegisterCounter("requests.caller_gone", r)
	m.broken = metrics.GetOrRegisterCounter("streams.broken", r)
	m.copyUsed = metrics.GetOrRegisterCounter("copies.used", r)
	m.copyMissing = metrics.GetOrRegisterCounter("copies.missing", r)
	m.copyMade = metrics.GetOrRegisterCounter("copies.made", r)
	m.copyFailed = metrics.GetOrRegisterCounter("copies.failed", r)
	m.identified = metrics.GetOrRegisterCounter("endpoints.identified", r)
	m.recalled = metrics.GetOrRegisterCounter("recalls.found", r)
	m.recallMissed = metrics.GetOrRegisterCounter("recalls.missed", r)
	m.first = histogram("streams.first_ms", r)
	m.pause = histogram("streams.move_pause_ms", r)
	m.whole = map[route.Kind]metrics.Histogram{}
	for k, name := range kindNames {
		m.whole[k] = histogram("requests."+name+".answer_ms", r)
	}
}

func histogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// served counts an endpoint's answer that was passed on.
func (m *meter) served(k route.Kind, status int, took time.Duration) {
	outcome := "failed"
	if status < http.StatusInternalServerError {
		outcome = "answered"
	}
	metrics.GetOrRegisterCounter("requests."+kindNames[k]+"."+outcome, m.registry).Inc(1)
	m.whole[k].Update(took.Milliseconds())
}

// refuse counts the router's own answers by their reason.
func (m *meter) refuse(f Refusal) {
	name := strings.NewReplacer(" ", "_", "'", "").Replace(string(f.Reason))
	metrics.GetOrRegisterCounter("requests.refused."+name, m.registry).Inc(1)
	if f.After > 0 {
		histogram("requests.retry_after_ms", m.registry).Update(f.After.Milliseconds())
	}
}
