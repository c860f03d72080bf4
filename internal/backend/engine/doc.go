// Package engine is a client for model engines over HTTP and server-sent events.
//
// The protocol is that of OpenAI completions, with the token's id and position
// and the request's attempt added to each chunk. Further paths resume, probe and
// cancel a stream, read the load and send orders. A Client is used through the
// jaywind.Engine interface:
//
//	c := &engine.Client{}
//	stream, err := c.Open(ctx, "http://127.0.0.1:9101", call)
//	if err != nil {
//		return err
//	}
//	defer stream.Close()
//	frame, err := stream.Next()
//
// Each call dials a new connection, since an idle connection may be dead although
// the engine behind it still accepts new ones.
package engine
