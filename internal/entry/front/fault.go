package front

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
)

// Error is an answer other than the endpoint's own. Op is a code in the manner
// of the OpenAI API; Kind is the outcome that the caller is told.
type Error struct {
	Op      string
	Kind    callst.Outcome
	Status  int
	Message string
	Retry   time.Duration // 0 for none
}

// Error describes the failure.
func (e *Error) Error() string { return e.Message }

// refused is an answer to a request that can never run as it stands.
func refused(status int, code, message string) *Error {
	return &Error{Op: code, Kind: callst.OutcomeNotRun, Status: status, Message: message}
}

// notRun is an answer to a request that may be sent again.
func notRun(status int, message string, retry time.Duration) *Error {
	return &Error{Op: "not_run", Kind: callst.OutcomeNotRun, Status: status, Message: message, Retry: retry}
}

// ended is the answer of a call that ended without a complete body.
func ended(end relay.End) *Error {
	e := &Error{Op: string(end.Outcome), Kind: end.Outcome, Status: fiber.StatusBadGateway, Message: end.Reason, Retry: end.RetryAfter}
	if end.Outcome == callst.OutcomeNotRun {
		e.Status = fiber.StatusServiceUnavailable
	}
	return e
}

// errorBody is the OpenAI form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    string         `json:"code"`
	Outcome callst.Outcome `json:"outcome"`
	Call    string         `json:"call_id,omitempty"`
}

func (e *Error) body(call string) errorBody {
	kind := "server_error"
	if e.Status < fiber.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Message: e.Message, Type: kind, Code: e.Op, Outcome: e.Kind, Call: call}}
}

// failed writes every error answer, those of the HTTP library included.
func (f *Front) failed(c *fiber.Ctx, err error) error {
	var e *Error
	var fe *fiber.Error
	switch {
	case errors.As(err, &e):
	case errors.As(err, &fe):
		e = refused(fe.Code, "invalid_request", fe.Message)
	default:
		e = refused(fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	c.Set(outcomeHeader, string(e.Kind))
	if e.Retry > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.Retry.Seconds()))))
		c.Set("Retry-After-Ms", strconv.FormatInt(e.Retry.Milliseconds(), 10))
	}
	if e.Kind != callst.OutcomeNotRun {
		c.Set("X-Should-Retry", "false") // the official client libraries heed it
	}
	return c.Status(e.Status).JSON(e.body(string(c.Response().Header.Peek(callHeader))))
}
