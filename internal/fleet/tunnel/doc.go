// Package tunnel connects a router to endpoints that it can't reach over its own links, through another router.
//
// A helper connects to the endpoint and forwards bytes in both directions, unread. All decisions stay with the
// router that asks: it chooses the endpoint, counts the attempt and reads the answer, so nothing is counted
// twice and a call is sent at most once, as over a connection of its own. A helper uses only its own links,
// so that no call goes in a circle.
//
//	d := &tunnel.Dialer{HTTP: client, Peers: peers, Calls: &calls, Log: log, Metrics: registry}
//	mux.Handle(tunnel.Path, d.Handler())
//	conn, err := d.DialContext(ctx, "tcp", "10.128.0.9:8080")
package tunnel
