package hostile_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// http2CrowdSize is the number of connections of a crowd that speaks HTTP/2.
	http2CrowdSize = 200
	// streamsAhead is the number of requests that it begins on each connection.
	streamsAhead = 64
	// http2ShortFields is the number of short fields of a header list: a byte each on the network after the first.
	http2ShortFields = 3000
	// http2BodyBytes is what is sent of a body in one frame.
	http2BodyBytes = 16 << 10
	// http2Flood is the number of frames that a connection sends without reading what they cause.
	http2Flood = 20_000
)

// http2Member is a connection of a crowd that speaks HTTP/2 without TLS.
type http2Member struct {
	*member
	out    bytes.Buffer
	framer *http2.Framer
	fields bytes.Buffer
	table  *hpack.Encoder
}

// speakHTTP2 begins a connection with an initial window for responses and lets it misbehave.
func speakHTTP2(window uint32, misbehave func(m *http2Member)) func(m *member) {
	return func(inner *member) {
		m := &http2Member{member: inner}
		m.framer = http2.NewFramer(&m.out, nil)
		m.table = hpack.NewEncoder(&m.fields)
		_ = inner.conn.(*net.TCPConn).SetReadBuffer(smallWindow)
		m.out.WriteString(http2.ClientPreface)
		_ = m.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: window})
		misbehave(m)
		m.send()
	}
}

// send writes the frames that are ready and reports whether all were sent.
func (m *http2Member) send() bool {
	defer m.out.Reset()
	return m.write(m.out.String())
}

// headerList encodes the header list of a request with a number of short fields.
func (m *http2Member) headerList(method string, shortFields int) []byte {
	m.fields.Reset()
	for _, field := range []hpack.HeaderField{
		{Name: ":method", Value: method}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "rota.example"}, {Name: ":path", Value: m.target.path},
		{Name: "content-type", Value: "application/json"}, {Name: "if-match", Value: "00000004"},
	} {
		_ = m.table.WriteField(field)
	}
	for range shortFields {
		_ = m.table.WriteField(hpack.HeaderField{Name: "f", Value: ""})
	}
	return m.fields.Bytes()
}

// begin begins a request with a header list.
func (m *http2Member) begin(index int, list []byte, endStream, endHeaders bool) uint32 {
	id := uint32(2*index + 1)
	_ = m.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: list, EndStream: endStream, EndHeaders: endHeaders})
	return id
}

const (
	noWindow   = 0
	wideWindow = 1 << 30
)

// http2Kinds are the crowds that speak HTTP/2 without TLS.
var http2Kinds = []kind{
	{"HTTP/2 responses without a window", true, http2CrowdSize, speakHTTP2(noWindow, func(m *http2Member) {
		for i := range streamsAhead {
			m.begin(i, m.headerList("GET", 0), true, true)
		}
	})},
	{"HTTP/2 responses never read", true, http2CrowdSize, speakHTTP2(wideWindow, func(m *http2Member) {
		for i := range http2Flood / 20 {
			m.begin(i, m.headerList("GET", 0), true, true)
		}
	})},
	{"HTTP/2 pings never read", false, http2CrowdSize, speakHTTP2(wideWindow, func(m *http2Member) {
		for i := range http2Flood {
			var data [8]byte
			binary.BigEndian.PutUint64(data[:], uint64(i))
			_ = m.framer.WritePing(false, data)
		}
	})},
	{"HTTP/2 streams begun and reset", false, http2CrowdSize, speakHTTP2(wideWindow, func(m *http2Member) {
		for i := range http2Flood / 20 {
			id := m.begin(i, m.headerList("GET", 0), true, true)
			_ = m.framer.WriteRSTStream(id, http2.ErrCodeCancel)
		}
	})},
	{"HTTP/2 frame of a megabyte announced", true, http2CrowdSize, speakHTTP2(wideWindow, func(m *http2Member) {
		const length = 1 << 20
		// The length of a frame is 24 bits.
		m.out.Write([]byte{length >> 16, 0, 0, byte(http2.FrameData), 0, 0, 0, 0, 1})
		m.out.Write(make([]byte, http2BodyBytes))
	})},
	{"HTTP/2 bodies stop short", false, http2CrowdSize, speakHTTP2(wideWindow, func(m *http2Member) {
		for i := range streamsAhead {
			id := m.begin(i, m.headerList(m.target.method, 0), false, true)
			_ = m.framer.WriteData(id, false, make([]byte, http2BodyBytes))
			if !m.send() {
				return
			}
		}
	})},
	{"HTTP/2 very many fields", true, http2CrowdSize, speakHTTP2(wideWindow, func(m *http2Member) {
		for i := range streamsAhead {
			m.begin(i, m.headerList(m.target.method, http2ShortFields), false, true)
			if !m.send() {
				return
			}
		}
	})},
	{"HTTP/2 header list stops short", false, http2CrowdSize, speakHTTP2(wideWindow, func(m *http2Member) {
		m.begin(0, m.headerList(m.target.method, http2ShortFields), false, false)
	})},
	{"HTTP/2 slow body", false, http2CrowdSize, speakHTTP2(wideWindow, func(m *http2Member) {
		var ids []uint32
		for i := range streamsAhead {
			ids = append(ids, m.begin(i, m.headerList(m.target.method, 0), false, true))
		}
		if m.send() {
			go m.dripData(ids)
		}
	})},
}

// dripData sends one byte of one body after the other until the crowd is dismissed.
func (m *http2Member) dripData(ids []uint32) {
	slow := &http2Member{member: m.member}
	slow.framer = http2.NewFramer(&slow.out, nil)
	for i := 0; ; i++ {
		_ = slow.framer.WriteData(ids[i%len(ids)], false, []byte("x"))
		if !slow.send() {
			return
		}
		select {
		case <-m.dismissed:
			return
		case <-time.After(dripInterval):
		}
	}
}

// TestCrowdsThatSpeakHTTP2 lets crowds speak HTTP/2 without TLS at each address that may take it.
func TestCrowdsThatSpeakHTTP2(t *testing.T) {
	inShortRun := map[string]bool{"readiness": true, "operators": true}
	for _, name := range []string{
		"readiness", "announcements", "node's port for other instances", "node's port for metrics", "operators", "control instance's port for other instances",
	} {
		for _, k := range http2Kinds {
			t.Run(name+"/"+k.name, func(t *testing.T) {
				skipUnlessProving(t, k.short && inShortRun[name])
				startDeployment(t, manyFds).withstand(1, assault{placeNamed(name), k})
			})
		}
	}
}
