// Package dgram sends and receives the messages of a peers.Group over UDP. Each
// message holds the full state, not a change, so a lost datagram need not be sent
// again.
package dgram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/peers"
)

const (
	sendInterval = 20 * time.Millisecond // minimum time between two messages to a peer
	maxDatagram  = 32 << 10
)

// Transport sends and receives the messages of one group.
type Transport struct {
	conn  *net.UDPConn
	group *peers.Group
	log   *zap.Logger
}

// New returns a Transport that listens at address, given as IP:port.
func New(address string, group *peers.Group, log *zap.Logger) (*Transport, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse peer listen address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, fmt.Errorf("listen for peer datagrams: %w", err)
	}
	return &Transport{conn: conn, group: group, log: log}, nil
}

// Run sends and receives messages until the context ends.
func (tr *Transport) Run(ctx context.Context) {
	go tr.receive()
	t := time.NewTicker(sendInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = tr.conn.Close()
			return
		case <-t.C:
			tr.send()
		}
	}
}

func (tr *Transport) send() {
	packets, err := tr.group.Outgoing(time.Now())
	if err != nil {
		tr.log.Error("message_encode_failed", zap.Error(err))
		return
	}
	for _, p := range packets {
		for _, address := range p.To {
			tr.sendTo(address, p.Raw)
		}
	}
}

func (tr *Transport) sendTo(address string, raw []byte) {
	addrPort, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = tr.conn.WriteToUDPAddrPort(raw, addrPort)
	}
	if err != nil {
		tr.log.Warn("message_send_failed", zap.String("peer", address), zap.Error(err))
	}
}

func (tr *Transport) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := tr.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			tr.log.Warn("message_receive_failed", zap.Error(err))
			continue
		}
		if err := tr.group.Receive(time.Now(), buf[:n]); err != nil {
			tr.log.Warn("message_decode_failed", zap.Error(err))
		}
	}
}
