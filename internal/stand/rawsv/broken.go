package rawsv

import (
	"strconv"
	"strings"
)

// BrokenLines returns first lines that begin no response in HTTP/1, or one that no request asks for.
func BrokenLines() []string {
	return []string{
		"HTTP/1.1 000 X", "HTTP/1.1 000", "HTTP/1.0 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.0 100 Continue",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 1000 X", "HTTP/1.1 2000", "HTTP/1.1 20 OK",
		"HTTP/1.1 2", "HTTP/1.1 0200 OK", "HTTP/1.1 0404", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 2e2 OK",
		"HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1\t200 OK", "HTTP/1.1  200 OK", "HTTP/0.9 200 OK", "HTTP/2 200 OK",
		"HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "ICY 200 OK", "200 OK", "<html>", "", " ", "\x00\x00\x00",
	}
}

// BrokenResponses returns responses that are none, by name, with header fields that each end with a
// line break. Most have a body.
func BrokenResponses(fields, body string) map[string]string {
	out := map[string]string{}
	for _, line := range BrokenLines() {
		out[line+", without a body"] = line + "\r\n" + fields + "\r\n"
		out[line+", with a body"] = Response(line, fields, body)
		out[line+", with a body without a length"] = line + "\r\n" + fields + "\r\n" + body
	}
	for _, line := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 199 X"} { // interim ones have no body
		out[line+", with a body"] = Response(line, fields, body)
	}
	return out
}

// Response returns a response whose head has a length.
func Response(line, fields, body string) string {
	return line + "\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// IsNamed reports whether an error's text repeats the status line of a broken response.
func IsNamed(response, text string) bool {
	line, _, _ := strings.Cut(response, "\r\n")
	quoted := strconv.Quote(strings.TrimPrefix(strings.TrimPrefix(line, "HTTP/1.0 "), "HTTP/1.1 "))
	return strings.Contains(text, quoted[1:len(quoted)-1])
}
