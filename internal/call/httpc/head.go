package httpc

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

var errInvalid = errors.New("not a response")

// IsInvalid reports whether the error means that the peer sent something that is no response.
func IsInvalid(err error) bool { return errors.Is(err, errInvalid) }

// maxQuoted is how much of a status line an error repeats.
const maxQuoted = 64

// ReadHead reads the head of the final response to a request with a method, and skips interim
// (1xx) responses. The response is HTTP/1 with a status of 200 to 599. Anything else is an
// error, which names the status line: after a head that is none, no byte is known to
// belong to a response. net/http takes any three digits for a status.
func ReadHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		if err := checkStatusLine(r); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
		if err := checkInterim(resp); err != nil {
			return nil, err
		}
	}
}

// checkStatusLine checks the beginning of the next response without reading it, each byte as
// soon as it has arrived: a line that is none may have no end.
func checkStatusLine(r *bufio.Reader) error {
	for i := range statusLineBytes {
		head, err := r.Peek(i + 1)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if !beginsStatusLine(i, head[i]) {
			return fmt.Errorf("%w: status line %q", errInvalid, firstLine(r))
		}
	}
	return nil
}

const (
	statusLinePattern = "HTTP/1.0 000"             // 0 stands for any digit
	classIndex        = 9                          // of the status's first digit
	statusLineBytes   = len(statusLinePattern) + 1 // and a space or the line's end
)

// beginsStatusLine reports whether a status line may have a byte at an index.
func beginsStatusLine(i int, b byte) bool {
	switch {
	case i == len(statusLinePattern):
		return b == ' ' || b == '\r' || b == '\n'
	case i == classIndex:
		return '1' <= b && b <= '5'
	case statusLinePattern[i] == '0':
		return '0' <= b && b <= '9'
	}
	return b == statusLinePattern[i]
}

// firstLine returns what has arrived of the next line, shortened.
func firstLine(r *bufio.Reader) []byte {
	b, _ := r.Peek(min(r.Buffered(), maxQuoted)) // cannot fail: these bytes are buffered
	line, _, _ := bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// checkInterim returns an error for an interim response after which the final one does not
// follow: a switch of protocols, which no request asks for, or one with a body. HTTP/1.0 has
// no interim responses.
func checkInterim(resp *http.Response) error {
	_, hasLength := resp.Header["Content-Length"]
	switch {
	case joined(resp):
		return errJoinedHeads
	case resp.StatusCode == http.StatusSwitchingProtocols, resp.ProtoMinor == 0, hasLength, len(resp.TransferEncoding) > 0:
		return fmt.Errorf("%w: interim status %q", errInvalid, resp.Status[:min(len(resp.Status), maxQuoted)])
	}
	return nil
}

var (
	statusLine     = regexp.MustCompile(`HTTP/1\.\d \d{3}`)
	errJoinedHeads = errors.New("the response's head holds the status line of another response")
)

// joined reports whether a head consists of the beginning of an earlier response's and of
// another one that follows it: its status line is then part of a header's value or of the
// status text.
func joined(resp *http.Response) bool {
	if hasStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine looks for the protocol first, which is much cheaper and nearly always absent.
func hasStatusLine(s string) bool { return strings.Contains(s, "HTTP/1.") && statusLine.MatchString(s) }
