// Package socket serves raw connections with functions of tests, for answers that no HTTP server would send.
//
//	at := socket.Serve(t, func(c net.Conn) {
//		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part of the answer")
//		socket.Reset(c)
//	})
package socket
