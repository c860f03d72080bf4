package cbor

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"io"
	"math"
	"net/http"
	"time"
)

const (
	authScheme   = "Bearer "
	pingIdleTime = 2 * time.Second // without received frames, after which a connection is checked by a ping
	pingTimeout  = time.Second
	idleTimeout  = 5 * time.Second
	writeTimeout = 2 * time.Second
	maxHeadBytes = 64 << 10 // of a response
	// maxFrameBytes is what a server reads in one HTTP/2 frame; the least that the protocol allows. A client of net/http keeps a buffer of that
	// size, up to 512 KB, for each open stream of messages, and the server's default is 1 MB.
	maxFrameBytes = 16 << 10
	maxBodyBytes  = maxMessageBytes + 64<<10
	// maxUnreadBytes is what a peer may send on a stream beyond what was read of it. The defaults are 1 MB for servers and 4 MB for clients.
	maxUnreadBytes = 64 << 10
)

// RequireSecret refuses requests that do not carry the shared secret with status 401.
func RequireSecret(secret string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(authScheme + secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			http.Error(w, "the shared secret is wrong or missing", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// NewHTTPClient returns a client that uses cleartext HTTP/2 and sends the shared secret.
func NewHTTPClient(secret string) *http.Client {
	return newClient(secret, maxBodyBytes)
}

// NewStreamClient is NewHTTPClient for streams of messages, which have no limit on their whole length.
func NewStreamClient(secret string) *http.Client {
	return newClient(secret, math.MaxInt)
}

func newClient(secret string, maxBytes int) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:              protocols,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:           pingIdleTime,
			PingTimeout:               pingTimeout,
			WriteByteTimeout:          writeTimeout,
			MaxReceiveBufferPerStream: maxUnreadBytes,
		},
	}
	return &http.Client{Transport: &secretTransport{secret: secret, maxBytes: maxBytes, next: transport}}
}

// Configure prepares a server for calls between routers. It is to be called before the server starts.
func Configure(s *http.Server) {
	s.Protocols = Protocols()
	s.HTTP2 = &http.HTTP2Config{MaxReadFrameSize: maxFrameBytes, MaxReceiveBufferPerStream: maxUnreadBytes}
}

// Protocols returns the protocols that a server for calls between routers must accept.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

type secretTransport struct {
	secret   string
	maxBytes int // of the body of a response
	next     http.RoundTripper
}

// RoundTrip sends a copy of the request with the secret.
func (s *secretTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	signed := r.Clone(r.Context())
	signed.Header.Set("Authorization", authScheme+s.secret)
	response, err := s.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: s.maxBytes}
	return response, nil
}

var errLongBody = errors.New("response body is too long")

// limitedBody fails after a number of bytes. Otherwise connect would read what follows a message that is too long to its end.
type limitedBody struct {
	io.ReadCloser
	left int
}

// Read reads up to the limit.
func (l *limitedBody) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errLongBody
	}
	n, err := l.ReadCloser.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
