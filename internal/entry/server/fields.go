package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"strconv"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

// maxFields is the most fields that the object of a model call may have. A request of the OpenAI
// API has some thirty. Each takes 48 bytes, and may have 4 in the body.
const maxFields = 4096

// field is a field of a JSON object. Its value is a part of the body, with the capacity up to the
// body's end.
type field struct {
	name  string
	value []byte
}

var errManyFields = requestError(fiber.StatusBadRequest, "too_many_fields", fmt.Sprintf("the body has more than %d fields", maxFields))

// refuseFields counts a request whose object has too many fields.
func (srv *Server) refuseFields(c *fiber.Ctx, w spec.Workspace, err error) error {
	if errors.Is(err, errManyFields) {
		srv.turnAway(c, w, "many_fields", zap.Int("most_fields", maxFields))
	}
	return err
}

// fieldsOf returns the fields of a valid JSON object, without copies of their values.
func fieldsOf(body []byte) ([]field, error) {
	var fields []field
	var name []byte
	for part := range elements(bytes.TrimSpace(body)) {
		if name == nil {
			name = part
			continue
		}
		if len(fields) == maxFields {
			return nil, errManyFields
		}
		f := field{value: part}
		if err := json.Unmarshal(name[:min(len(name), maxNameBytes)], &f.name); err != nil {
			f.name = "" // longer than any that the entry looks for
		}
		fields, name = append(fields, f), nil
	}
	return fields, nil
}

// valueOf returns the last value of a field, nil if it is missing.
func valueOf(fields []field, name string) (value []byte) {
	for _, f := range fields {
		if f.name == name {
			value = f.value
		}
	}
	return value
}

// elements returns the elements of a valid JSON array, or the names and values of an object in turn.
func elements(text []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for rest := nextElement(text[1:]); len(rest) > 0 && rest[0] != ']' && rest[0] != '}'; {
			size := valueSize(rest)
			if !yield(rest[:size]) { // with its capacity, which tells where it is
				return
			}
			rest = nextElement(rest[size:])
		}
	}
}

// nextElement skips what stands between two elements.
func nextElement(rest []byte) []byte { return bytes.TrimLeft(rest, " \t\r\n,:") }

// valueSize returns the size of the JSON value that the text begins with.
func valueSize(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringSize(text[i:]) - 1
		case '{', '[':
			depth++
			continue
		case '}', ']':
			depth--
		default:
			if depth == 0 {
				return wordSize(text)
			}
			continue
		}
		if depth == 0 {
			return i + 1
		}
	}
	return len(text)
}

// stringSize returns the size of the JSON string that the text begins with.
func stringSize(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// wordSize returns the size of the number or literal that the text begins with.
func wordSize(text []byte) int {
	if end := bytes.IndexAny(text, " \t\r\n,:]}"); end >= 0 {
		return end
	}
	return len(text)
}

// withPriority returns the body with the priority of the request's class, unless that is 0 and the
// caller set one. The copy replaces the body that the call holds.
func (srv *Server) withPriority(c *fiber.Ctx, w spec.Workspace, body []byte, fields []field, priority int) ([]byte, error) {
	if priority == 0 && valueOf(fields, "priority") != nil {
		return body, nil
	}
	return srv.replaceBody(c, w, len(body), func() []byte { return setPriority(body, fields, strconv.Itoa(priority)) })
}

// priorityBytes is the most that a priority adds to a body.
const priorityBytes = 32

// setPriority returns a copy of a JSON object with these fields in which the priority has a value.
func setPriority(body []byte, fields []field, value string) []byte {
	out := make([]byte, 0, len(body)+priorityBytes)
	rest := body
	if valueOf(fields, "priority") == nil {
		begin := bytes.IndexByte(body, '{') + 1
		out = append(append(out, body[:begin]...), `"priority":`+value+`,`...)
		rest = body[begin:]
	}
	for _, f := range fields {
		if f.name == "priority" {
			begin := cap(rest) - cap(f.value) // both end with the body's memory
			out = append(append(out, rest[:begin]...), value...)
			rest = rest[begin+len(f.value):]
		}
	}
	return append(out, rest...)
}
