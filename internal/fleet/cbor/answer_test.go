package cbor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"jaywind/internal/standin/socket"
)

const drainTime = 50 * time.Millisecond

// startPeer answers the first request on each connection by a function that writes frames, after which the connection is closed. It returns
// the address.
func startPeer(t *testing.T, respond func(f *http2.Framer, stream uint32, c net.Conn) error) string {
	t.Helper()
	return "http://" + socket.Serve(t, func(c net.Conn) {
		f, stream, err := readRequest(c)
		if err != nil || respond(f, stream, c) != nil || c.SetReadDeadline(time.Now().Add(drainTime)) != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c) // closing it with unread bytes would reset it
	})
}

// readRequest reads the preface and the frames up to the first head.
func readRequest(c net.Conn) (*http2.Framer, uint32, error) {
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, 0, err
	}
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return nil, 0, err
	}
	f := http2.NewFramer(c, c)
	if err := f.WriteSettings(); err != nil {
		return nil, 0, err
	}
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return nil, 0, err
		}
		if head, ok := frame.(*http2.HeadersFrame); ok {
			return f, head.StreamID, f.WriteSettingsAck()
		}
	}
}

// writeHead writes the head of a response. The length is left out if it is negative.
func writeHead(f *http2.Framer, stream uint32, status, contentType string, length int) error {
	var block bytes.Buffer
	fields := hpack.NewEncoder(&block)
	for _, h := range []hpack.HeaderField{{Name: ":status", Value: status}, {Name: "content-type", Value: contentType}} {
		if err := fields.WriteField(h); err != nil {
			return err
		}
	}
	if length >= 0 {
		if err := fields.WriteField(hpack.HeaderField{Name: "content-length", Value: fmt.Sprint(length)}); err != nil {
			return err
		}
	}
	return f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
}

// message is an encoded note, any part of which is cut.
func message(t *testing.T) []byte {
	t.Helper()
	data, err := Codec{}.Marshal(&note{Text: "a text of some length", Sum: 7})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// call sends an empty note.
func call(t *testing.T, at string) (*note, error) {
	t.Helper()
	client := NewHTTPClient("")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	got, err := connect.NewClient[note, note](client, at+"/note", ClientOptions()...).CallUnary(ctx, connect.NewRequest(&note{}))
	if err != nil {
		return nil, err
	}
	return got.Msg, nil
}

// TestStatusThatIsNoAnswer fails if a call takes a response for an answer whose status is none, although a whole message follows.
func TestStatusThatIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "199", "201", "204", "599", "600", "999", "abc", "", "200"} {
		t.Run("status "+status, func(t *testing.T) {
			is := is.New(t)
			data := message(t)
			at := startPeer(t, func(f *http2.Framer, stream uint32, _ net.Conn) error {
				return errors.Join(writeHead(f, stream, status, "application/cbor", -1), f.WriteData(stream, true, data))
			})
			got, err := call(t, at)
			is.Equal(err == nil, status == "200")
			if err == nil {
				is.Equal(got.Sum, uint64(7))
			}
		})
	}
}

// TestCutMessage fails if a call takes a part of a message for the whole one, however the response has ended.
func TestCutMessage(t *testing.T) {
	ends := map[string]func(f *http2.Framer, stream uint32, c net.Conn) error{
		"clean end": func(f *http2.Framer, stream uint32, _ net.Conn) error { return f.WriteData(stream, true, nil) },
		"stream reset": func(f *http2.Framer, stream uint32, _ net.Conn) error {
			return f.WriteRSTStream(stream, http2.ErrCodeCancel)
		},
		"stream reset without an error": func(f *http2.Framer, stream uint32, _ net.Conn) error {
			return f.WriteRSTStream(stream, http2.ErrCodeNo)
		},
		"connection closed": func(_ *http2.Framer, _ uint32, c net.Conn) error { return c.Close() },
		"connection reset": func(_ *http2.Framer, _ uint32, c net.Conn) error {
			return errors.Join(c.(*net.TCPConn).SetLinger(0), c.Close()) //nolint:forcetypeassert // of a TCP listener
		},
	}
	whole := message(t)
	for name, end := range ends {
		for _, length := range []int{-1, len(whole)} {
			t.Run(fmt.Sprintf("%s, length %d", name, length), func(t *testing.T) {
				for size := range len(whole) {
					at := startPeer(t, func(f *http2.Framer, stream uint32, c net.Conn) error {
						return errors.Join(writeHead(f, stream, "200", "application/cbor", length), f.WriteData(stream, false, whole[:size]), end(f, stream, c))
					})
					if got, err := call(t, at); err == nil {
						t.Fatalf("%d of %d bytes look like the message %+v", size, len(whole), got)
					}
				}
			})
		}
	}
}

// TestCutStream fails if a stream of messages that breaks off seems to have ended, or a part of a message seems whole.
func TestCutStream(t *testing.T) {
	whole := message(t)
	envelope := append([]byte{0, 0, 0, 0, byte(len(whole))}, whole...)
	ends := map[string]func(f *http2.Framer, stream uint32, c net.Conn) error{
		"clean end": func(f *http2.Framer, stream uint32, _ net.Conn) error { return f.WriteData(stream, true, nil) },
		"stream reset": func(f *http2.Framer, stream uint32, _ net.Conn) error {
			return f.WriteRSTStream(stream, http2.ErrCodeNo)
		},
		"connection closed": func(_ *http2.Framer, _ uint32, c net.Conn) error { return c.Close() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for size := range len(envelope) {
				at := startPeer(t, func(f *http2.Framer, stream uint32, c net.Conn) error {
					sent := append(bytes.Clone(envelope), envelope[:size]...)
					return errors.Join(writeHead(f, stream, "200", "application/connect+cbor", -1), f.WriteData(stream, false, sent), end(f, stream, c))
				})
				client := NewStreamClient("")
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				s := connect.NewClient[note, note](client, at+"/note", ClientOptions()...).CallBidiStream(ctx)
				_ = s.Send(&note{}) // fails if the peer has ended the stream before
				first, err := s.Receive()
				if err == nil { // a reset may overtake the message
					is.Equal(first.Sum, uint64(7))
					_, err = s.Receive()
				}
				if err == nil || errors.Is(err, io.EOF) {
					t.Errorf("%d of %d bytes of the second message: %v", size, len(envelope), err)
				}
				_ = s.CloseRequest()
				_ = s.CloseResponse()
				cancel()
			}
		})
	}
}
