package tunnel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"jaywind"
)

var errNoWay = errors.New("no other router reaches the endpoint")

// race connects to an endpoint in several ways, of which the first that succeeds is used.
type race struct {
	dialer  *Dialer
	at      jaywind.Address
	helpers []jaywind.Address // that are left to be tried
	lost    bool              // this router's own link is known to be lost
	results chan attempt      // has room for all
	pending int               // attempts under way
	asked   []jaywind.Address // helpers that were tried
	cancel  context.CancelFunc

	ownFailure  error // of this router's own link
	refused     int   // helpers that the endpoint has refused
	unreachable int   // helpers that the endpoint did not answer
	answered    int   // helpers that have answered anything
}

// run returns the first connection that is made. The own link has a head start unless it is lost. The race ends without a connection when all
// ways have failed, when helpers confirm that it is the endpoint which does not answer, or at a limit. That helpers have not answered yet says
// nothing about the endpoint, as they or this router may be short of processor; the limit therefore follows the time that answers take.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	started := time.Now()
	alone, limit := r.dialer.helpLimits()
	wait, first := alone, time.Duration(0) // first is when the first helper is asked
	helpCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxHelp)
	r.cancel = cancel
	if r.lost {
		r.startHelper(helpCtx)
	} else {
		wait = r.dialer.ownHeadStart()
		first = wait
		r.startOwn(ctx)
	}
	next, least, end := time.NewTimer(wait), time.NewTimer(connectTimeout), time.NewTimer(first+alone+limit) // so that a second helper has its time, too
	defer next.Stop()
	defer least.Stop()
	defer end.Stop()
	for r.pending > 0 || len(r.helpers) > 0 {
		ask := true
		select {
		case a := <-r.results:
			r.pending--
			if a.conn != nil {
				r.finish(a, true)
				return a.conn, nil
			}
			r.recordFailure(a)
			if r.answered > 0 { // so that helpers are known to be fast or slow
				alone, limit = r.dialer.helpLimits()
				end.Reset(time.Until(started.Add(max(connectTimeout, first+alone+limit))))
			}
		case <-next.C:
		case <-least.C:
			ask = false
		case <-end.C:
			if r.answered == 0 && len(r.asked) > 0 {
				r.dialer.recordNoAnswer()
			}
			r.finish(attempt{}, false)
			return nil, r.failure(context.DeadlineExceeded)
		case <-ctx.Done():
			r.finish(attempt{}, true)
			return nil, r.failure(ctx.Err())
		}
		if r.refused >= refusals || r.unreachable >= silences && time.Since(started) >= connectTimeout {
			r.finish(attempt{}, true)
			return nil, r.failure(nil)
		}
		if ask {
			r.startHelper(helpCtx)
			next.Reset(alone)
		}
	}
	cancel()
	return nil, r.failure(nil)
}

// startOwn tries the own link. The attempt goes on when a helper is faster, as it shows whether the link is lost.
func (r *race) startOwn(ctx context.Context) {
	r.pending++
	ctx = context.WithoutCancel(ctx)
	limit := r.dialer.ownLimit(connectTimeout)
	r.dialer.Calls.Go(func(stopped context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(stopped, cancel)()
		conn, err := r.dialer.direct(ctx, r.at, limit)
		r.results <- attempt{conn: conn, err: err}
	})
}

// startHelper tries the next helper, if there is one.
func (r *race) startHelper(ctx context.Context) {
	if len(r.helpers) == 0 {
		return
	}
	helper := r.helpers[0]
	r.helpers = r.helpers[1:]
	r.asked = append(r.asked, helper)
	r.pending++
	r.dialer.Calls.Go(func(stopped context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(stopped, cancel)()
		r.results <- r.dialer.openThrough(ctx, helper, r.at)
	})
}

// recordFailure records an attempt without a connection.
func (r *race) recordFailure(a attempt) {
	switch {
	case a.helper == "":
		r.ownFailure = a.err
		return
	case a.outcome == outcomeRefused:
		r.refused++
	case a.outcome == outcomeUnreachable:
		r.unreachable++
	default:
		r.dialer.recordUnhelpful(a.helper)
	}
	if a.outcome != outcomeFailed {
		r.answered++
	}
	r.dialer.failed.Inc(1)
}

// finish records the attempt that has won, if any, and closes the connections of those that are still under way. With enough, helpers that
// have not answered need not do so any more; without, the time of their answers is still measured.
func (r *race) finish(won attempt, enough bool) {
	if enough {
		r.cancel()
	}
	switch {
	case won.conn == nil:
	case won.helper == "":
		r.dialer.recordConnected(r.at)
	default:
		r.recordHelped(won.helper)
	}
	if r.pending == 0 {
		r.cancel()
		return
	}
	pending, ownFailure := r.pending, r.ownFailure
	r.dialer.Calls.Go(func(context.Context) {
		defer r.cancel()
		for range pending {
			a := <-r.results
			switch {
			case a.conn != nil && a.helper == "":
				r.dialer.recordConnected(r.at)
			case a.helper == "" && won.helper != "" && ownFailure == nil:
				r.dialer.confirmLost(r.at, won.helper)
			}
			if a.conn != nil {
				_ = a.conn.Close()
			}
		}
	})
}

// recordHelped records that a helper has connected, which those that were tried before it should have done too.
func (r *race) recordHelped(helper jaywind.Address) {
	r.dialer.opened.Inc(1)
	r.dialer.recordHelpful(helper)
	for _, at := range r.asked {
		if at == helper {
			break
		}
		r.dialer.recordUnhelpful(at)
	}
	if r.ownFailure != nil {
		r.dialer.confirmLost(r.at, helper)
	}
}

// failure returns why no connection was made. It wraps syscall.ECONNREFUSED only if other routers were refused, too.
func (r *race) failure(cause error) error {
	switch {
	case r.refused >= refusals || r.refused > 0 && len(r.asked) == 1:
		return fmt.Errorf("at this router and at others: %w", syscall.ECONNREFUSED)
	case r.ownFailure != nil:
		return fmt.Errorf("not confirmed by other routers: %s", r.ownFailure.Error())
	case cause != nil:
		return cause
	}
	return errNoWay
}
