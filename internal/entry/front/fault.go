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
	Code       string
	Outcome    callst.Outcome
	Status     int
	Message    string
	RetryAfter time.Duration // 0 for none
}

// Error describes the failure.
func (e *Error) Error() string { return e.Message }

// requestError is an answer to a request that can never run as it stands.
func requestError(status int, code, message string) *Error {
	return &Error{Code: code, Outcome: callst.OutcomeNotRun, Status: status, Message: message}
}

// notRunError is an answer to a request that may be sent again.
func notRunError(status int, message string, retry time.Duration) *Error {
	return &Error{Code: "not_run", Outcome: callst.OutcomeNotRun, Status: status, Message: message, RetryAfter: retry}
}

// endError is the answer of a call that ended without a complete body.
func endError(end relay.End) *Error {
	e := &Error{Code: string(end.Outcome), Outcome: end.Outcome, Status: fiber.StatusBadGateway, Message: end.Reason, RetryAfter: end.RetryAfter}
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
	CallID  string         `json:"call_id,omitempty"`
}

func (e *Error) body(call string) errorBody {
	kind := "server_error"
	if e.Status < fiber.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Message: e.Message, Type: kind, Code: e.Code, Outcome: e.Outcome, CallID: call}}
}

// handleError writes every error answer, those of the HTTP library included.
func (f *Front) handleError(c *fiber.Ctx, err error) error {
	var e *Error
	var fe *fiber.Error
	switch {
	case errors.As(err, &e):
	case errors.As(err, &fe):
		e = requestError(fe.Code, "invalid_request", fe.Message)
	default:
		e = requestError(fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	c.Set(outcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		c.Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	if e.Outcome != callst.OutcomeNotRun {
		c.Set("X-Should-Retry", "false") // the official client libraries heed it
	}
	return c.Status(e.Status).JSON(e.body(string(c.Response().Header.Peek(callHeader))))
}
