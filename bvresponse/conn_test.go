package bvresponse

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"flag"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// properHeads is the grammar of RFC 9112 for interim heads and a final one, but for values.
var properHeads = regexp.MustCompile(`(?s-i)\A` +
	`(HTTP/1\.[0-9] +1(0[02-9]|[1-9][0-9])( [\t -~\x80-\x{ff}]*)?\r?\n` + properFields + `\r?\n)*` +
	`HTTP/1\.[0-9] +[2-5][0-9][0-9]( [\t -~\x80-\x{ff}]*)?\r?\n` + properFields + `\r?\n`)

const properFields = "([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\n]*\\n)*"

var (
	headEnd     = regexp.MustCompile(`\r?\n\r?\n`)
	lengthField = regexp.MustCompile(`(?im)^content-length:`)
	codingField = regexp.MustCompile(`(?im)^transfer-encoding:`)
)

// isProper reports whether a text, with a character for each byte, begins with proper heads.
func isProper(text string) bool {
	found := properHeads.FindString(text)
	for found != "" {
		end := headEnd.FindStringIndex(found)[1]
		head := found[:end]
		hasLength, isEncoded := lengthField.MatchString(head), codingField.MatchString(head)
		isInterim := strings.HasPrefix(strings.TrimLeft(head[len("HTTP/1.1"):], " "), "1")
		if isInterim && (hasLength || isEncoded) || hasLength && isEncoded || isEncoded && strings.HasPrefix(head, "HTTP/1.0") {
			return false
		}
		if !isInterim {
			return true
		}
		found = found[end:]
	}
	return false
}

// latin1 returns a text with a character for each byte.
func latin1(content []byte) string {
	var text strings.Builder
	for _, b := range content {
		text.WriteRune(rune(b))
	}
	return text.String()
}

// drawHead draws the head of a response, which may be proper.
func drawHead(t *rapid.T) string {
	line := rapid.SampledFrom([]string{
		"HTTP/1.1 200 OK", "HTTP/1.1 503", "HTTP/1.0 599 ", "HTTP/1.1 103 Hints", "HTTP/1.0 100", "HTTP/1.1 000 X", "HTTP/1.1 600 X",
		"HTTP/1.1 101 X", "HTTP/2.0 200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 200 \x01",
	}).Draw(t, "status line")
	fields := rapid.SliceOfN(rapid.SampledFrom([]string{
		"A: 1", "a:", "B-2:\t1 \xe9", "A : 1", " A: 1", "A B: 1", ": 1", "A: \x01", "A: 1\r2", "A", "Content-Length: 5", "content-length:5",
		"Content-Length : 5", "Transfer-Encoding: chunked",
	}), 0, 3).Draw(t, "fields")
	lines := append([]string{line}, fields...)
	return strings.Join(append(lines, "", ""), rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end"))
}

// Guards against heads that are judged by the pieces in which they arrive, or by another grammar.
func TestHeadsAreJudgedByTheirBytes(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "74"))
	require.NoError(t, flag.Set("rapid.checks", "20000"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.Custom(drawHead), 1, 3).Draw(t, "heads"), "")
		if at := rapid.IntRange(0, 4*len(text)).Draw(t, "at"); at < len(text) {
			text = text[:at] + rapid.SampledFrom([]string{"\x00", "\x7f", "\x01", "\r", "\n", "\t", " ", ":", "\xe9"}).Draw(t, "byte") + text[at:]
		}
		var checker headChecker
		var failed error
		for rest := []byte(text); len(rest) > 0 && failed == nil; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			failed = checker.check(rest[:size])
			rest = rest[size:]
		}
		require.Equal(t, isProper(latin1([]byte(text))), failed == nil && checker.section == body, "%q: %v", text, failed)
	})
}

// Guards against a response that is rejected because it comes over TLS or a connection that is kept.
func TestTransportKeepsItsConnections(t *testing.T) {
	var dials, requests int
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		requests++
		_, _ = io.WriteString(writer, strings.Repeat("x", requests))
	})
	for number, server := range []*httptest.Server{httptest.NewServer(handler), httptest.NewTLSServer(handler)} {
		t.Cleanup(server.Close)
		transport := NewTransport(&http.Transport{
			TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				dials++
				return (&net.Dialer{}).DialContext(ctx, network, address)
			},
		})
		t.Cleanup(transport.CloseIdleConnections)
		for requests = 0; requests < 3; {
			response, err := (&http.Client{Transport: transport}).Get(server.URL)
			require.NoError(t, err)
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Len(t, content, requests)
		}
		require.Equal(t, number+1, dials)
	}
}

func BenchmarkReadHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nId: 9c41d07be2a35f68\r\nSeal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Content-Type: application/octet-stream\r\nContent-Length: 800\r\nLoad: 3,0,8\r\n\r\n")
	source := bytes.NewReader(nil)
	reader := bufio.NewReader(source)
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			var checker headChecker
			if err := checker.check(head); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			source.Reset(head)
			reader.Reset(source)
			if _, err := http.ReadResponse(reader, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
}
