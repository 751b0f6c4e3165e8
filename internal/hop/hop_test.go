package hop_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2/hpack"
	"pgregory.net/rapid"

	"samphireflow/internal/exchange"
	"samphireflow/internal/hop"
)

// TestDecodingReversesEncoding encodes and decodes random messages in sequence with the state of one connection. It checks
// that each result is a valid value of a header field.
func TestDecodingReversesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		encoder, decoder := hop.NewEncoder(), hop.NewDecoder()
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			sent := hop.Fields{
				Target: rapid.SampledFrom([]string{"", "/a", "/a/%20?b=c", "//x"}).Draw(t, "target"),
				Host:   rapid.SampledFrom([]string{"", "h.example", "h:80"}).Draw(t, "host"),
				Header: http.Header{},
			}
			for range rapid.IntRange(0, 6).Draw(t, "fields") {
				name := http.CanonicalHeaderKey(rapid.StringMatching(`[A-Za-z][A-Za-z0-9-]{0,9}`).Draw(t, "name"))
				sent.Header[name] = append(sent.Header[name], rapid.String().Draw(t, "value"))
			}
			text := encoder.Encode(sent)
			require.Equal(t, text, strings.Trim(text, " \t"), "HTTP strips whitespace at both ends of a value")
			require.False(t, strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f }))
			got, err := decoder.Decode(text)
			require.NoError(t, err)
			require.Equal(t, sent, got)
		}
	})
}

// TestDecodeBoundsTheSizeOfAMessage decodes a message in which single bytes stand for a long field.
func TestDecodeBoundsTheSizeOfAMessage(t *testing.T) {
	encoder := hop.NewEncoder()
	long := hop.Fields{Header: http.Header{"X-Long": nil}}
	for range 1000 {
		long.Header.Add("X-Long", strings.Repeat("x", 3000))
	}
	text := encoder.Encode(long)
	require.Less(t, len(text), 16<<10)
	_, err := hop.NewDecoder().Decode(text)
	require.Error(t, err)
}

func FuzzDecode(f *testing.F) {
	f.Add(hop.NewEncoder().Encode(hop.Fields{Target: "/a", Header: http.Header{"A": {"b"}}}))
	f.Add("~")
	f.Add(string(hpack.AppendHuffmanString(nil, "abc")))
	f.Fuzz(func(t *testing.T, text string) {
		decoder := hop.NewDecoder()
		for range 2 {
			if _, err := decoder.Decode(text); err != nil {
				return
			}
		}
	})
}

// TestVeryManyFieldsAreNotDecoded packs fields of a letter, a byte each, of which there are as many as a long header has, and more.
func TestVeryManyFieldsAreNotDecoded(t *testing.T) {
	const longestHeader = 64 << 10
	for count, accepted := range map[int]bool{longestHeader/len("F:\r\n") - 1: true, longestHeader: false} {
		packed := hop.NewEncoder().Encode(hop.Fields{Target: "/", Header: http.Header{"F": make([]string, count)}})
		fields, err := hop.NewDecoder().Decode(packed)
		require.Equal(t, accepted, err == nil, "%d fields", count)
		if accepted {
			require.Len(t, fields.Header["F"], count)
		}
	}
}

// startServer starts a server that uses Handler and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewUnstartedServer(hop.Handler(handler, zerolog.Nop()))
	server.Config.ConnContext = hop.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestRequestsAndResponsesAreComplete(t *testing.T) {
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		w.Header()["Date"] = nil
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Seen", r.Method+" "+r.RequestURI+" "+r.Host+" "+r.Header.Get("Content-Length"))
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(body)
	})
	client := exchange.NewHPACKClient(time.Second)
	for _, body := range []string{"", "one", strings.Repeat("long ", 1000), "last"} {
		request := &exchange.Request{
			Method: "POST", Target: "//odd/%2f?x", Host: "h.example", Header: http.Header{"X-Id": {"id " + body}}, Body: []byte(body), HasBody: true, EchoHeader: "X-Id",
		}
		response, err := client.Do(t.Context(), addr, request)
		require.NoError(t, err)
		require.Equal(t, http.StatusAccepted, response.Status)
		require.Equal(t, body, string(response.Body))
		require.Equal(t, "id "+body, response.Header.Get("X-Id"))
		require.True(t, strings.HasPrefix(response.Header.Get("X-Seen"), "POST //odd/%2f?x h.example "))
		require.Empty(t, response.Header.Values("Content-Type"), "no header field is added")
		require.Empty(t, response.Header.Values("Date"))
	}
	require.EqualValues(t, 1, client.Dials())
}

// TestRepeatedFieldsAreShort bounds the compressed size of a call whose header fields mostly repeat those of earlier calls.
func TestRepeatedFieldsAreShort(t *testing.T) {
	encoder := hop.NewEncoder()
	size := 0
	for _, id := range []string{"539d1eb437dd8ae3", "0c05251f6dcf7165", "9bccde92ea1f48a3"} {
		size = len(encoder.Encode(hop.Fields{Target: "/bode925/" + id[:6], Host: "deye45.example", Header: http.Header{
			"Accept": {"*/*"}, "Accept-Encoding": {"identity"}, "User-Agent": {"sdk-client/1.9.3"},
			"Samphireflow-Request-Id": {id}, "Samphireflow-Caller": {"dase72b"}, "Sf-Call": {"i-1b32980d72 fixa76c%2Fr-28icixt 1 1"}, "Sf-Times": {"99 217 74"},
		}}))
	}
	require.Less(t, size, 70)
}

func TestMalformedCallClosesItsConnection(t *testing.T) {
	addr := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("a malformed call must not reach the handler") })
	for _, field := range []string{"", "P: ~\r\n", "P: zzzz\r\n"} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost:\r\n"+field+"\r\n")
		require.NoError(t, err)
		response, err := io.ReadAll(conn)
		require.NoError(t, err, "the connection ends")
		require.True(t, strings.HasPrefix(string(response), "HTTP/1.1 400 "), "%q", response)
	}
}

// TestUncompressedResponseIsBroken checks that the response of a server that does not compress header fields is not taken
// for the response of a gate.
func TestUncompressedResponseIsBroken(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	request := &exchange.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}, EchoHeader: "X-Id"}
	_, err := exchange.NewHPACKClient(time.Second).Do(ctx, server.Listener.Addr().String(), request)
	require.ErrorIs(t, err, exchange.ErrBroken)
}
