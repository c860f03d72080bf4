package hedge

import (
	"math"
	"time"
)

const (
	// Window is the length of the sliding window in which the share holds.
	Window = 10 * time.Second

	bucketTime     = Window / 20 // resolution of the window
	requestBuckets = 20          // span 9.5 to 10 s, so no request outside the window counts
	hedgeBuckets   = 21          // span 10 to 10.5 s, so each hedge in the window counts

	margin          = 0.8             // fraction of the share that is used, as the windows of the routers are not aligned
	noRoomPause     = 2 * time.Second // without hedges after a request that found no room, as others will find none soon
	minRetriesLeft  = 0.5             // fraction of the retry budget that must be left, as failures need it more than slow answers
	turnTime        = 5 * time.Second // for which the turn of a router lasts
	turnsPerWindow  = 3               // turns that a window of 10 s overlaps
	roundingSlack   = 1e-9            // 0.8 * 0.05 * 25 must allow 1
	goldenTurnShare = 0.618           // of the ring of routers between two with successive places, which spreads the turns over the ring and over time
)

// Denial says why a request is not hedged. Names of metrics are made from its text.
type Denial string

// The denials, and Allowed for none of them.
const (
	Allowed       Denial = ""
	DeniedOff     Denial = "off"     // the share is 0
	DeniedNoRoom  Denial = "no room" // requests of the service were refused or waited shortly before
	DeniedRetries Denial = "retries" // less than half of the router's part of the retry budget is left
	DeniedShare   Denial = "share"   // the hedges of the window have reached the share
)

// Part is the place of a router among those that serve the same services.
type Part struct {
	Index   int // from 0
	Routers int
}

// Budget counts one router's repeatable requests and hedges of one service. Set Share before use.
//
// When a hedge is sent, the hedges of the last 10 s do not exceed 0.8 times Share times the requests of the last 10 s. A router with
// fewer than 1.25/Share requests in a window has no whole hedge. The routers take turns in using the fractions that their parts leave,
// such that the fleet keeps the share as well if its routers have equal loads.
type Budget struct {
	Share float64 // of the requests that may be hedged

	requests, hedges slidingCount
	noRoomAt         time.Time // of the last request that found no room
	lastTurn         int64     // turn in which the last fractional hedge was sent
}

// RecordRequest counts a request that may be repeated.
func (b *Budget) RecordRequest(now time.Time) {
	b.requests.add(now)
}

// RecordNoRoom stops hedging for a while, as a request of the service was refused or waits for room.
func (b *Budget) RecordNoRoom(now time.Time) {
	b.noRoomAt = now
}

// Take counts a hedge and returns Allowed, or returns why there may be none. The argument retriesLeft is the fraction of this
// router's part of the retry budget that is left.
func (b *Budget) Take(now time.Time, p Part, retriesLeft float64) Denial {
	switch {
	case b.Share <= 0:
		return DeniedOff
	case !b.noRoomAt.IsZero() && now.Sub(b.noRoomAt) < noRoomPause:
		return DeniedNoRoom
	case retriesLeft < minRetriesLeft:
		return DeniedRetries
	}
	part := margin * b.Share * float64(b.requests.sum(now, requestBuckets))
	whole := int(part + roundingSlack)
	used := b.hedges.sum(now, hedgeBuckets)
	turn := now.UnixNano() / int64(turnTime)
	switch {
	case used < whole:
	case used == whole && turn != b.lastTurn && p.hasTurn(turn, part-float64(whole)):
		b.lastTurn = turn
	default:
		return DeniedShare
	}
	b.hedges.add(now)
	return Allowed
}

// hasTurn reports whether a router may use the fraction of a hedge that its part leaves for a whole one. If all routers have the
// same fraction, those with a turn in any window of 10 s are together not more than the sum of the fractions. Neighbours on the ring
// prefer the same endpoints, so the routers with a turn are spread over the ring.
func (p Part) hasTurn(turn int64, fraction float64) bool {
	n := int64(max(1, p.Routers))
	turns := int64(fraction * float64(n) / turnsPerWindow)
	return turns > 0 && (int64(p.Index)+turn)%n*turnStep(n)%n < turns
}

// turnStep returns a number without a common factor with n, so that each of n routers has each place in turn.
func turnStep(n int64) int64 {
	step := max(1, int64(math.Round(goldenTurnShare*float64(n))))
	for gcd(step, n) != 1 {
		step++
	}
	return step
}

func gcd(a, b int64) int64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// slidingCount counts events in the newest buckets of time.
type slidingCount struct {
	buckets [hedgeBuckets]int
	last    int64 // number of the newest bucket, counted from the Unix epoch
}

func (c *slidingCount) add(now time.Time) {
	c.advance(now)
	c.buckets[c.last%hedgeBuckets]++
}

// sum returns the events in the n newest buckets.
func (c *slidingCount) sum(now time.Time, n int64) int {
	c.advance(now)
	total := 0
	for i := range min(n, c.last+1) {
		total += c.buckets[(c.last-i)%hedgeBuckets]
	}
	return total
}

// advance clears the buckets that have left the window. It changes nothing if the clock was set back.
func (c *slidingCount) advance(now time.Time) {
	at := now.UnixNano() / int64(bucketTime)
	for range min(hedgeBuckets, max(0, at-c.last)) {
		c.last++
		c.buckets[c.last%hedgeBuckets] = 0
	}
	c.last = max(c.last, at)
}
