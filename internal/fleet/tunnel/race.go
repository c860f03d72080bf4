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
	results chan attempt      // has room for all
	pending int               // attempts under way
	asked   []jaywind.Address // helpers that were tried

	ownFailure error // of this router's own link
	refused    int   // helpers that the endpoint has refused
}

// run returns the first connection that is made. The own link has a head start unless it is lost.
func (r *race) run(ctx context.Context, lost bool) (net.Conn, error) {
	if lost {
		r.startHelper(ctx)
	} else {
		r.startOwn(ctx)
	}
	next := time.NewTimer(headStart)
	defer next.Stop()
	for r.pending > 0 || len(r.helpers) > 0 {
		select {
		case a := <-r.results:
			r.pending--
			if a.conn != nil {
				r.finish(a)
				return a.conn, nil
			}
			r.recordFailure(a)
		case <-next.C:
		case <-ctx.Done():
			r.finish(attempt{})
			return nil, r.failure(ctx.Err())
		}
		if r.refused >= refusals {
			r.finish(attempt{})
			return nil, r.failure(nil)
		}
		r.startHelper(ctx)
		next.Reset(headStart)
	}
	return nil, r.failure(nil)
}

// startOwn tries the own link. The attempt goes on when a helper is faster, as it shows whether the link is lost.
func (r *race) startOwn(ctx context.Context) {
	r.pending++
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), connectTimeout)
	r.dialer.Calls.Go(func(stopped context.Context) {
		defer cancel()
		defer context.AfterFunc(stopped, cancel)()
		conn, err := r.dialer.direct(ctx, r.at)
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
	case a.outcome != outcomeUnreachable:
		r.dialer.recordUnhelpful(a.helper)
	}
	r.dialer.failed.Inc(1)
}

// finish records the attempt that has won, if any, and closes the connections of those that are still under way.
func (r *race) finish(won attempt) {
	switch {
	case won.conn == nil:
	case won.helper == "":
		r.dialer.recordConnected(r.at)
	default:
		r.recordHelped(won.helper)
	}
	if r.pending == 0 {
		return
	}
	pending, ownFailure := r.pending, r.ownFailure
	r.dialer.Calls.Go(func(context.Context) {
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
