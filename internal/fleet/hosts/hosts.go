// Package hosts keeps a roster in sync with the platform's host list by long
// polling.
package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

const (
	callTimeout      = 3 * time.Second // besides longPollWait
	retryPause       = time.Second
	maxResponseBytes = 4 << 20
)

// Watcher keeps a roster in sync with the host list.
type Watcher struct {
	addr         string
	longPollWait time.Duration
	roster       *roster.Roster
	client       *fasthttp.Client
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
	return &Watcher{addr: addr, longPollWait: longPollWait, roster: members, log: log, client: &fasthttp.Client{MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1}}
}

// Run polls until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	known := roster.Version{}
	for ctx.Err() == nil {
		next, err := w.poll(known)
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
func (w *Watcher) poll(known roster.Version) (roster.Version, error) {
	url := fmt.Sprintf("http://%s/hosts?after=%d&epoch=%d&wait_ms=%d", w.addr, known.Revision, known.Epoch, w.longPollWait.Milliseconds())
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip") // reduces the response to a tenth
	if err := w.client.DoTimeout(req, resp, w.longPollWait+callTimeout); err != nil {
		return roster.Version{}, fmt.Errorf("host list: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return roster.Version{}, fmt.Errorf("host list: status %d", resp.StatusCode())
	}
	body, err := resp.BodyUncompressed()
	if err != nil {
		return roster.Version{}, fmt.Errorf("host list: decompress response: %w", err)
	}
	return w.applyResponse(body)
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
