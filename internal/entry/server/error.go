package server

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
)

// Error is an error response produced by the entry rather than the endpoint.
type Error struct {
	Code       string         // code field of the OpenAI error format
	Outcome    callst.Outcome // reported to the caller
	Status     int
	Message    string
	RetryAfter time.Duration // 0 for none
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// requestError returns the error for a request that would fail again if repeated
// unchanged.
func requestError(status int, code, message string) *Error {
	return &Error{Code: code, Outcome: callst.OutcomeNotRun, Status: status, Message: message}
}

// notRunError returns the error for a request that did not run and may be repeated
// after retryAfter.
func notRunError(status int, message string, retryAfter time.Duration) *Error {
	return &Error{Code: "not_run", Outcome: callst.OutcomeNotRun, Status: status, Message: message, RetryAfter: retryAfter}
}

// drainError returns the error for a request that arrives while the entry drains.
func drainError() *Error {
	return notRunError(fiber.StatusServiceUnavailable, "this entry is shutting down", time.Second)
}

// endError returns the error for a call that ended without a complete response.
func endError(end relay.End) *Error {
	e := &Error{Code: string(end.Outcome), Outcome: end.Outcome, Status: fiber.StatusBadGateway, Message: end.Reason, RetryAfter: end.RetryAfter}
	if end.Outcome == callst.OutcomeNotRun {
		e.Status = fiber.StatusServiceUnavailable
	}
	return e
}

// errorBody is an error response in the format of the OpenAI API, extended by outcome
// and call_id.
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

func (e *Error) body(callID string) errorBody {
	errorType := "server_error"
	if e.Status < fiber.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Message: e.Message, Type: errorType, Code: e.Code, Outcome: e.Outcome, CallID: callID}}
}

// handleError writes the response for any error, including those of the HTTP library.
func (srv *Server) handleError(c *fiber.Ctx, err error) error {
	var e *Error
	var fiberErr *fiber.Error
	switch {
	case errors.As(err, &e):
	case errors.As(err, &fiberErr):
		e = requestError(fiberErr.Code, "invalid_request", fiberErr.Message)
	default:
		e = requestError(fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	c.Set(outcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		c.Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	if e.Outcome != callst.OutcomeNotRun && e.RetryAfter == 0 {
		c.Set("X-Should-Retry", "false") // OpenAI's client libraries honour this header
	}
	return c.Status(e.Status).JSON(e.body(string(c.Response().Header.Peek(callHeader))))
}
