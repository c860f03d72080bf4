package router

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"jaywind/internal/core/hedge"
	"jaywind/internal/core/route"
)

const sampleSize, sampleAlpha = 256, 0.015 // of the histograms; covers the last minutes at a few values a second

var kindNames = map[route.Kind]string{route.KindSafe: "safe", route.KindUnsafe: "unsafe", route.KindStream: "stream"}

// callStats holds the metrics of a Router.
type callStats struct {
	registry metrics.Registry

	version, endpoints, members    metrics.Gauge
	notRun, overBudget, callerGone metrics.Counter
	broken, copyUsed, copyMissing  metrics.Counter
	streamWaits, beginLosses, lost metrics.Counter
	quarantined                    metrics.Gauge
	cacheFound, cacheMissed        metrics.Counter
	copyMade, copyFailed           metrics.Counter
	identified, borrowed           metrics.Counter
	leaving, paused, withheld      metrics.Counter
	limitNotices, limited          metrics.Counter
	hedges, hedgesWon              metrics.Counter
	hedgesCancelled                metrics.Counter
	fallback, noRoom               metrics.Counter
	firstEvent, movePause          metrics.Histogram // milliseconds
	answerTime                     map[route.Kind]metrics.Histogram
}

func (m *callStats) register(r metrics.Registry) {
	m.registry = r
	m.version = metrics.GetOrRegisterGauge("config.version", r)
	m.endpoints = metrics.GetOrRegisterGauge("endpoints", r)
	m.members = metrics.GetOrRegisterGauge("members", r)
	m.notRun = metrics.GetOrRegisterCounter("sends.not_run", r)
	m.overBudget = metrics.GetOrRegisterCounter("repeats.over_budget", r)
	m.borrowed = metrics.GetOrRegisterCounter("repeats.borrowed", r)
	m.callerGone = metrics.GetOrRegisterCounter("requests.caller_gone", r)
	m.broken = metrics.GetOrRegisterCounter("streams.broken", r)
	m.lost = metrics.GetOrRegisterCounter("requests.lost_with_endpoint", r)
	m.beginLosses = metrics.GetOrRegisterCounter("streams.lost_at_beginning", r)
	m.quarantined = metrics.GetOrRegisterGauge("quarantine.groups", r)
	m.streamWaits = metrics.GetOrRegisterCounter("streams.waited", r)
	m.copyUsed = metrics.GetOrRegisterCounter("copies.used", r)
	m.copyMissing = metrics.GetOrRegisterCounter("copies.missing", r)
	m.copyMade = metrics.GetOrRegisterCounter("copies.made", r)
	m.copyFailed = metrics.GetOrRegisterCounter("copies.failed", r)
	m.identified = metrics.GetOrRegisterCounter("endpoints.identified", r)
	m.leaving = metrics.GetOrRegisterCounter("endpoints.leaving", r)
	m.limitNotices = metrics.GetOrRegisterCounter("limits.named", r)
	m.limited = metrics.GetOrRegisterCounter("sends.limited", r)
	m.fallback = metrics.GetOrRegisterCounter("schedule.fallback", r)
	m.noRoom = metrics.GetOrRegisterCounter("schedule.no_room", r)
	m.paused = metrics.GetOrRegisterCounter("endpoints.paused", r)
	m.withheld = metrics.GetOrRegisterCounter("sends.withheld", r)
	m.hedges = metrics.GetOrRegisterCounter("hedge.sent", r)
	m.hedgesWon = metrics.GetOrRegisterCounter("hedge.won", r)
	m.hedgesCancelled = metrics.GetOrRegisterCounter("hedge.cancelled", r)
	m.cacheFound = metrics.GetOrRegisterCounter("recalls.found", r)
	m.cacheMissed = metrics.GetOrRegisterCounter("recalls.missed", r)
	m.firstEvent = histogram("streams.first_ms", r)
	m.movePause = histogram("streams.move_pause_ms", r)
	m.answerTime = map[route.Kind]metrics.Histogram{}
	for k, name := range kindNames {
		m.answerTime[k] = histogram("requests."+name+".answer_ms", r)
	}
}

func histogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// recordAnswer counts an endpoint's response that was forwarded.
func (m *callStats) recordAnswer(k route.Kind, status int, took time.Duration) {
	outcome := "failed"
	if status < http.StatusInternalServerError {
		outcome = "answered"
	}
	metrics.GetOrRegisterCounter("requests."+kindNames[k]+"."+outcome, m.registry).Inc(1)
	m.answerTime[k].Update(took.Milliseconds())
}

// recordRefusal counts the router's own responses by their reason.
func (m *callStats) recordRefusal(f Refusal) {
	metrics.GetOrRegisterCounter("requests.refused."+metricName(string(f.Reason)), m.registry).Inc(1)
	if f.RetryAfter > 0 {
		histogram("requests.retry_after_ms", m.registry).Update(f.RetryAfter.Milliseconds())
	}
}

// recordHedgeDenied counts a slow request that is not hedged, by its cause.
func (m *callStats) recordHedgeDenied(why hedge.Denial) {
	metrics.GetOrRegisterCounter("hedge.denied."+metricName(string(why)), m.registry).Inc(1)
}

// recordBroken counts a stream that ends incomplete, by its cause.
func (m *callStats) recordBroken(cause string) {
	m.broken.Inc(1)
	metrics.GetOrRegisterCounter("streams.broken."+metricName(cause), m.registry).Inc(1)
}

// metricName makes part of a metric's name from a text.
func metricName(text string) string {
	return strings.NewReplacer(" ", "_", "'", "").Replace(text)
}
