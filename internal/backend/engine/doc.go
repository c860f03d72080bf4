// Package engine speaks to model engines over HTTP and server-sent events.
//
// The form is that of OpenAI-compatible completions, with the token's id and
// position and the request's attempt added to each chunk, and with paths to
// resume, probe and cancel a stream, to read the load and to give orders. A
// Client is used through the jaywind.Engine interface:
//
//	c := &engine.Client{}
//	stream, err := c.Open(ctx, "http://127.0.0.1:9101", call)
//	if err != nil {
//		return err
//	}
//	defer stream.Close()
//	frame, err := stream.Next()
//
// Every call dials a connection of its own, since an idle connection may have
// gone silent while the engine behind it still takes new ones.
package engine
