// Package dgram carries the messages of a share.Group over UDP. Messages are
// absolute, so that a lost datagram needs no repeat.
package dgram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/share"
)

const (
	tick        = 20 * time.Millisecond // the shortest time between two messages to a peer
	maxDatagram = 32 << 10
)

// Carrier sends and receives the messages of one group.
type Carrier struct {
	conn  *net.UDPConn
	group *share.Group
	log   *zap.Logger
}

// New listens at an address, IP:port.
func New(address string, group *share.Group, log *zap.Logger) (*Carrier, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address for peers: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Carrier{conn: conn, group: group, log: log}, nil
}

// Run carries messages until the context ends.
func (c *Carrier) Run(ctx context.Context) {
	go c.receive()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = c.conn.Close()
			return
		case <-t.C:
			c.send()
		}
	}
}

func (c *Carrier) send() {
	to, raw, err := c.group.Outgoing(time.Now())
	if err != nil {
		c.log.Error("message_not_made", zap.Error(err))
		return
	}
	for _, address := range to {
		at, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = c.conn.WriteToUDPAddrPort(raw, at)
		}
		if err != nil {
			c.log.Warn("message_not_sent", zap.String("peer", address), zap.Error(err))
		}
	}
}

func (c *Carrier) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			c.log.Warn("message_not_received", zap.Error(err))
			continue
		}
		if err := c.group.Receive(time.Now(), buf[:n]); err != nil {
			c.log.Warn("message_unreadable", zap.Error(err))
		}
	}
}
