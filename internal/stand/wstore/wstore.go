// Package wstore is a stand-in (fake) for the store from which engines load model
// weights, which limits the rate of loads.
package wstore

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Server is the store. It is safe for concurrent use.
type Server struct {
	limiter  *rate.Limiter
	listener net.Listener
}

// New starts a store that serves perSecond loads per second, with bursts of up to
// burst loads. It answers every request with 200, or with 429 above the rate.
func New(addr string, perSecond float64, burst int) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in weight store: listen on %s: %w", addr, err)
	}
	s := &Server{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), listener: ln}
	srv := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	go func() { _ = srv.Serve(ln) }()
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.limiter.AllowN(time.Now(), 1) {
		ctx.Error("too many loads", fasthttp.StatusTooManyRequests)
		return
	}
	ctx.SetBodyString("weights\n")
}
