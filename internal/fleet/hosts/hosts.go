// Package hosts keeps a roster in sync with the platform's host list by long
// polling.
package hosts

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

const (
	callTimeout      = 3 * time.Second // besides longPollWait
	retryPause       = time.Second
	maxResponseBytes = 4 << 20
	maxListBytes     = 64 << 20 // of a list that was compressed
)

// Watcher keeps a roster in sync with the host list.
type Watcher struct {
	addr         string
	longPollWait time.Duration
	roster       *roster.Roster
	pool         *httpc.Pool
	log          *zap.Logger
}

type hostList struct {
	Epoch    uint64            `json:"epoch"`
	Revision uint64            `json:"revision"`
	Hosts    []json.RawMessage `json:"hosts"` // each a hostRow
}

type hostRow struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

// New returns a Watcher of the host list at addr. Each call waits up to longPollWait
// for a change.
func New(addr string, longPollWait time.Duration, members *roster.Roster, log *zap.Logger) *Watcher {
	return &Watcher{addr: addr, longPollWait: longPollWait, roster: members, log: log, pool: httpc.New(httpc.Config{DialTimeout: callTimeout})}
}

// Run polls until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	known := roster.Version{}
	for ctx.Err() == nil {
		next, err := w.poll(ctx, known)
		if err != nil {
			w.log.Debug("host_list_failed", zap.Error(err))
		}
		if err != nil || next.Epoch < known.Epoch { // a replica of the platform that lags
			select {
			case <-ctx.Done():
			case <-time.After(retryPause/2 + rand.N(retryPause)):
			}
		}
		known = next
	}
}

// poll waits for a list that differs from the known version and applies it. It returns the
// version that it read, zero after an error: the next poll is then answered at once.
func (w *Watcher) poll(ctx context.Context, known roster.Version) (roster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, w.longPollWait+callTimeout)
	defer cancel()
	resp, err := w.pool.Do(ctx, w.addr, httpc.Request{
		Method: http.MethodGet, Host: w.addr, Header: http.Header{"Accept-Encoding": {"gzip"}, "User-Agent": {""}}, // reduces the response to a tenth
		Target: fmt.Sprintf("/hosts?after=%d&epoch=%d&wait_ms=%d", known.Revision, known.Epoch, w.longPollWait.Milliseconds()),
	})
	if err != nil {
		return roster.Version{}, fmt.Errorf("host list: %w", err)
	}
	body, err := resp.ReadAll(maxResponseBytes)
	if err != nil {
		return roster.Version{}, fmt.Errorf("host list: %w", err)
	}
	if resp.Status != http.StatusOK {
		return roster.Version{}, fmt.Errorf("host list: status %d", resp.Status)
	}
	if body, err = decompress(body, resp.Header.Get("Content-Encoding")); err != nil {
		return roster.Version{}, fmt.Errorf("host list: decompress response: %w", err)
	}
	return w.applyResponse(body)
}

// decompress returns a body without its content encoding.
func decompress(body []byte, encoding string) ([]byte, error) {
	switch encoding {
	case "", "identity":
		return body, nil
	case "gzip":
	default:
		return nil, fmt.Errorf("unknown encoding %.64q", encoding)
	}
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	list, err := io.ReadAll(io.LimitReader(r, maxListBytes+1))
	if err == nil && len(list) > maxListBytes {
		err = fmt.Errorf("more than %d bytes", maxListBytes)
	}
	return list, err
}

func (w *Watcher) applyResponse(body []byte) (roster.Version, error) {
	var l hostList
	if err := json.Unmarshal(prune(body), &l); err != nil {
		return roster.Version{}, fmt.Errorf("host list: decode response of %d bytes: %w", len(body), err)
	}
	v := roster.Version{Epoch: l.Epoch, Revision: l.Revision}
	w.roster.Update(v, lo.FilterMap(l.Hosts, func(raw json.RawMessage, _ int) (roster.Member, bool) {
		var h hostRow
		if err := json.Unmarshal(raw, &h); err != nil || h.Host == "" {
			w.log.Warn("host_row_invalid", zap.Uint64("revision", l.Revision), zap.Error(err))
			return roster.Member{}, false
		}
		return roster.Member{
			Host: h.Host, DataCentre: h.DataCentre, Role: roster.Role(h.Role), Service: h.Service,
			Address: h.Address, Leaving: h.State == "leaving",
		}, true
	}))
	return v, nil
}
