package bvresponse

import (
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

//go:generate stringer -type=Defect -linecomment -output=defect_string.go

// Defect is why a head, or a trailer, is not proper. The texts stand in errors.
type Defect int

// The defects, with the section of RFC 9112 or 9110 that rules each out.
const (
	noDefect          Defect = iota // proper
	InvalidStatusLine               // invalid status line (RFC 9112, section 4)
	InvalidStatus                   // invalid status (RFC 9110, section 15)
	InvalidProtocol                 // not HTTP/1 (RFC 9112, section 2.3)
	UpgradeNotAsked                 // upgrade that was not asked for (RFC 9110, section 7.8)
	FoldedLine                      // folded line (RFC 9112, section 5.2)
	InvalidName                     // invalid name of a field (RFC 9112, section 5.1)
	TwoFramings                     // length and transfer encoding (RFC 9112, section 6.2)
	EncodingInHTTP10                // transfer encoding in HTTP/1.0 (RFC 9112, section 6.1)
	FramedInterim                   // length or transfer encoding of an interim response (RFC 9112, section 6)
)

// maxExcerptBytes is how much of an improper line stands in an error.
const maxExcerptBytes = 64

// HeadError is the error of a head, or of a trailer, that is not proper.
type HeadError struct {
	defect Defect
	line   string // an excerpt
}

// Defect returns what is wrong.
func (err *HeadError) Defect() Defect { return err.defect }

// Error implements error.
func (err *HeadError) Error() string {
	return fmt.Sprintf("improper HTTP response: %s: %q", err.defect, err.line)
}

// CheckTrailer returns an error if a name in the trailer of a response is not valid.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{InvalidName, name[:min(len(name), maxExcerptBytes)]}
		}
	}
	return nil
}

// section is the part of a response that a headChecker expects.
type section int

const (
	statusLine section = iota
	fieldStart         // the start of a line after the status line
	fieldName
	fieldValue
	body
)

// headChecker checks the head of a response, in pieces of any size. The zero value expects a status
// line. Interim responses before the head are checked as well; what follows it is not.
type headChecker struct {
	section   section
	defect    Defect // of the present line; reported at its end, so that it stands in the error
	isAfterCR bool

	line   [maxExcerptBytes]byte // the start of the present line
	length int                   // of the present line

	isHTTP10  bool
	isInterim bool
	hasLength bool
	isEncoded bool // has a transfer encoding
}

// check checks the next bytes of a response.
func (checker *headChecker) check(content []byte) error {
	for len(content) > 0 && checker.section != body {
		end := bytes.IndexByte(content, '\n')
		if end < 0 {
			checker.addToLine(content)
			return nil
		}
		checker.addToLine(content[:end])
		if err := checker.endLine(); err != nil {
			return err
		}
		content = content[end+1:]
	}
	return nil
}

// addToLine checks a piece of a line without its line feed.
func (checker *headChecker) addToLine(piece []byte) {
	if len(piece) == 0 {
		return
	}
	if checker.section == fieldValue {
		return // net/http checks values
	}
	if checker.isAfterCR {
		checker.setDefect(checker.controlDefect())
	}
	start := checker.length
	if start < maxExcerptBytes {
		copy(checker.line[start:], piece)
	}
	checker.length += len(piece)
	last := len(piece) - 1
	checker.isAfterCR = piece[last] == '\r'
	if checker.isAfterCR {
		piece = piece[:last]
	}
	switch {
	case checker.section == statusLine:
		checker.addToStatusLine(piece)
		return
	case checker.section == fieldStart && len(piece) > 0:
		checker.section = fieldName
		if piece[0] == ' ' || piece[0] == '\t' {
			checker.setDefect(FoldedLine)
		}
	}
	checker.addToName(piece, start)
}

// addToStatusLine checks a piece of a status line for control bytes.
func (checker *headChecker) addToStatusLine(piece []byte) {
	for _, b := range piece {
		if b < ' ' && b != '\t' || b == 0x7f {
			checker.setDefect(InvalidStatusLine)
		}
	}
}

// addToName checks a piece of a line that begins with a piece of a name, at an offset in the line.
func (checker *headChecker) addToName(piece []byte, offset int) {
	for i, b := range piece {
		if b == ':' {
			checker.endName(offset + i)
			return
		}
		if !isToken[b] {
			checker.setDefect(InvalidName)
		}
	}
}

// isToken has the bytes that may stand in a name.
var isToken = func() (table [256]bool) {
	for b := range table {
		table[b] = httpguts.IsTokenRune(rune(b))
	}
	return table
}()

// endName records the fields that determine the end of the body.
func (checker *headChecker) endName(length int) {
	checker.section = fieldValue
	if length == 0 {
		checker.setDefect(InvalidName)
	}
	switch length {
	case len(lengthName):
		checker.hasLength = checker.hasLength || bytes.EqualFold(checker.line[:length], lengthName)
	case len(encodingName):
		checker.isEncoded = checker.isEncoded || bytes.EqualFold(checker.line[:length], encodingName)
	}
}

var lengthName, encodingName = []byte("Content-Length"), []byte("Transfer-Encoding")

func (checker *headChecker) setDefect(defect Defect) {
	if checker.defect == noDefect {
		checker.defect = defect
	}
}

// controlDefect is the defect of a control byte in the present section of a line.
func (checker *headChecker) controlDefect() Defect {
	if checker.section == statusLine {
		return InvalidStatusLine
	}
	return InvalidName
}

// endLine checks a complete line.
func (checker *headChecker) endLine() error {
	line := bytes.TrimSuffix(checker.excerpt(), []byte{'\r'})
	switch checker.section {
	case statusLine:
		checker.endStatusLine(line)
	case fieldStart:
		checker.endHead()
	case fieldName:
		checker.setDefect(InvalidName) // it has no colon
	default:
		checker.section = fieldStart
	}
	if checker.defect != noDefect {
		return &HeadError{checker.defect, string(line)}
	}
	checker.length, checker.isAfterCR = 0, false
	return nil
}

// excerpt returns the start of the present line.
func (checker *headChecker) excerpt() []byte {
	return checker.line[:min(checker.length, maxExcerptBytes)]
}

var protocolPrefix = []byte("HTTP/1.")

// endStatusLine checks a status line.
func (checker *headChecker) endStatusLine(line []byte) {
	checker.section = fieldStart
	version, rest, _ := bytes.Cut(line, []byte{' '})
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	switch {
	case len(version) != len(protocolPrefix)+1, !bytes.HasPrefix(version, protocolPrefix), !isDigit(version[len(version)-1]):
		checker.setDefect(InvalidProtocol)
	case !isStatus(code):
		checker.setDefect(InvalidStatus)
	case string(code) == "101":
		checker.setDefect(UpgradeNotAsked)
	default:
		checker.isHTTP10, checker.isInterim = string(version) == "HTTP/1.0", code[0] == '1'
	}
}

// isStatus reports whether a text is a status that a response may have.
func isStatus(code []byte) bool {
	return len(code) == 3 && '1' <= code[0] && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// endHead checks the fields of a head that determine the end of its body.
func (checker *headChecker) endHead() {
	switch {
	case checker.isInterim && (checker.hasLength || checker.isEncoded):
		checker.setDefect(FramedInterim)
	case checker.isEncoded && checker.hasLength:
		checker.setDefect(TwoFramings)
	case checker.isEncoded && checker.isHTTP10:
		checker.setDefect(EncodingInHTTP10)
	case checker.isInterim:
		checker.section = statusLine
		checker.isInterim = false
	default:
		checker.section = body
	}
}
