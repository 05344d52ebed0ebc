package local_test

import (
	"context"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/mtls"
	"github.com/mimosalock/mimosalock/internal/stand/certs"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

func TestPeersNeedCertificates(t *testing.T) {
	keys, err := certs.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r := start(t, local.Options{Entries: 1, Engines: 1, TLS: keys})
	ctx := testContext(t)
	expectComplete(t, client.New(local.Key).Generate(ctx, r.Entries()[0].CallerAddr, local.ModelName, prompt(20), 0), 20)

	foreign, err := certs.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	other, err := mtls.Load(foreign)
	if err != nil {
		t.Fatal(err)
	}
	unauthorized := []struct {
		name string
		pool *link.Pool
	}{{"another authority", link.New(other.Client)}, {"no TLS", link.New(nil)}}
	for _, s := range unauthorized {
		t.Run(s.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			conn, err := s.pool.Dial(ctx, r.Engines()[0].Settings.Peer)
			if err != nil {
				return
			}
			if _, err := conn.Probe(ctx, &peerpb.ProbeRequest{}); err == nil {
				t.Fatal("the agent answered an unauthorized peer")
			}
		})
	}
}
