package http1

import "bytes"

// prefaceHTTP2 begins a connection that goes on in HTTP/2.
const prefaceHTTP2 = "PRI * HTTP/2.0\r\n\r\n"

// headEnd returns the length of the head at the begin of b, with its blank line, or 0 if the head is not whole. As for the server,
// a line may end without a carriage return, and blank lines may come before the first one. The first scanned bytes are known to hold
// no whole head.
func headEnd(b []byte, scanned int) int {
	start := 0
	for start < len(b) && (b[start] == '\r' || b[start] == '\n') {
		start++
	}
	for at := max(start, scanned-len("\n\r")); ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		switch {
		case bytes.HasPrefix(b[at:], []byte("\n")):
			return at + 1
		case bytes.HasPrefix(b[at:], []byte("\r\n")):
			return at + 2
		}
	}
}

const (
	maxTail    = len("\n\r")     // of a blank line, with the end of the line before it, that may have come before the rest
	maxNewline = len("\r\n\r\n") // of the rest, with the end of that line
)

// blankLineEnd returns how much of b ends a blank line, if the head to which it belongs begins before b and ends with tail there; or 0.
func blankLineEnd(tail, b []byte) int {
	for n := 1; n <= min(maxNewline, len(b)) && len(tail) > 0; n++ {
		joined := append(bytes.Clone(tail), b[:n]...)
		if bytes.HasSuffix(joined, []byte("\n\n")) || bytes.HasSuffix(joined, []byte("\n\r\n")) {
			return n
		}
	}
	return 0
}
