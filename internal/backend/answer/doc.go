// Package answer tells a whole HTTP answer from one that was cut.
//
// net/http writes a request while it reads the answer. If the peer resets the
// connection meanwhile, the kernel may give the error to the write, and the read
// gets a clean end, which ends a body without a length. A body of this kind is
// whole only if the request was written to its end and no write has failed. A
// status that HTTP does not know as a final one is no answer at all:
//
//	transport := answer.Wrap(&http.Transport{})
//	response, err := transport.RoundTrip(request)
package answer
