package reach

import "time"

const (
	meanGain      = 8                // a sample moves the mean by one part in so many, as in RFC 6298
	deviationGain = 4                // the same for the deviation
	deviations    = 4                // over the mean, within which an answer is expected, as in RFC 6298
	staleTime     = 10 * time.Second // without a sample or a timeout, after which earlier ones say nothing about the present
)

// Latency estimates how long answers of one kind take, so that limits on them grow while this VM or others are short of processor. The
// zero value has no samples.
type Latency struct {
	mean, deviation time.Duration // of the samples; zero for none
	doublings       int           // of the limit, as no answer came within it since the last sample
	updatedAt       time.Time
}

// Record adds the time that an answer took.
func (l *Latency) Record(took time.Duration, now time.Time) {
	l.expire(now)
	took = max(took, time.Microsecond)
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
	} else {
		l.deviation += ((took - l.mean).Abs() - l.deviation) / deviationGain
		l.mean += (took - l.mean) / meanGain
	}
	l.doublings, l.updatedAt = 0, now
}

// RecordTimeout records that no answer came within the limit, which doubles until the next sample.
func (l *Latency) RecordTimeout(now time.Time) {
	l.expire(now)
	l.doublings = min(l.doublings+1, 10)
	l.updatedAt = now
}

// Limit returns the time within which an answer is expected, from least to most. It is usual, within the same bounds, without samples.
func (l *Latency) Limit(usual, least, most time.Duration, now time.Time) time.Duration {
	l.expire(now)
	limit := usual
	if l.mean > 0 {
		limit = l.mean + deviations*l.deviation
	}
	limit = max(limit, least) << l.doublings
	return min(limit, most)
}

// expire forgets what is too old.
func (l *Latency) expire(now time.Time) {
	if now.Sub(l.updatedAt) > staleTime {
		*l = Latency{updatedAt: now}
	}
}
