package server

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/guard"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

const (
	// bodyCopies is how often a body counts when it ends: the largest one fits alone.
	bodyCopies = 2
	// responseShare of the memory for bodies is for responses that are read as a whole: an eighth
	// of memory_mb, at 256 MB the largest response (32 MB at an agent).
	responseShare = 4
	// prefetchedBytes of a body are read by fasthttp before the request is served.
	prefetchedBytes = 8 << 10
	// keptHeadMemory is the most that a head may have counted for if its connection is used again:
	// fasthttp keeps the memory of a connection's largest head until the connection is closed.
	keptHeadMemory = 64 << 10
)

// dropUnreadBody closes a connection after the response if its request's body was not read, as
// what follows would be taken for the next request, or if its head takes much memory. Small bodies
// have been received already.
func (srv *Server) dropUnreadBody(c *fiber.Ctx) error {
	conn, isGuarded := c.Context().Conn().(*guard.Conn)
	if isGuarded {
		conn.EndBody()
	}
	err := c.Next()
	if isGuarded && conn.HeadMemory() > keptHeadMemory {
		c.Context().SetConnectionClose()
	}
	if !c.Request().IsBodyStream() {
		return err
	}
	if length := c.Request().Header.ContentLength(); length >= 0 && length <= prefetchedBytes {
		if _, readErr := io.Copy(io.Discard, c.Context().RequestBodyStream()); readErr == nil {
			return err
		}
	}
	c.Context().SetConnectionClose()
	if isGuarded {
		conn.LingerOnClose()
	}
	return err
}

// readBody reads the body of an authenticated request. Its memory counts until the response has
// been sent.
func (srv *Server) readBody(c *fiber.Ctx, w spec.Workspace) error {
	if !c.Request().IsBodyStream() {
		return nil
	}
	if c.Request().Header.ContentLength() > srv.bodyLimit {
		return srv.bodyTooLarge()
	}
	conn, isGuarded := c.Context().Conn().(*guard.Conn)
	if isGuarded {
		conn.BeginBody()
		defer conn.EndBody()
	}
	body, release, err := srv.bodies.ReadAll(c.Context().RequestBodyStream(), srv.bodyLimit)
	switch {
	case err == nil:
		srv.heldBy(c).body = release
		c.Request().SetBodyRaw(body)
		return nil
	case errors.Is(err, memlim.ErrTooLarge):
		return srv.bodyTooLarge()
	case errors.Is(err, memlim.ErrFull):
		if isGuarded {
			conn.EndBody()
		}
		return srv.refuseForMemory(c, w)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return requestError(fiber.StatusRequestTimeout, "request_timeout", "the body did not arrive within the time limit")
	}
	return requestError(fiber.StatusBadRequest, "invalid_request", "the body could not be read: "+err.Error())
}

// plainBody returns the body of a request that the entry decodes itself. Encoded bodies are refused,
// because a small one can be decompressed to any size. Bodies for services are passed on as they are.
func (srv *Server) plainBody(c *fiber.Ctx, w spec.Workspace) ([]byte, error) {
	for _, encoding := range c.Request().Header.PeekAll(fiber.HeaderContentEncoding) {
		if !strings.EqualFold(strings.TrimSpace(string(encoding)), "identity") {
			srv.turnAway(c, w, "encoded_body", zap.ByteString("encoding", encoding[:min(len(encoding), maxNameBytes)]))
			c.Set(fiber.HeaderAcceptEncoding, "identity")
			return nil, requestError(fiber.StatusUnsupportedMediaType, "unsupported_encoding", "send the body without a Content-Encoding")
		}
	}
	return c.BodyRaw(), nil
}

func (srv *Server) bodyTooLarge() error {
	return requestError(fiber.StatusRequestEntityTooLarge, "request_too_large", fmt.Sprintf("the body exceeds %d bytes", srv.bodyLimit))
}
