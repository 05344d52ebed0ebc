package invoke

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Guards against a kind of response in which an endpoint's word on when it wants calls again
// is not heard.
func TestRetryAfterIsHeard(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: "
	responses := []struct {
		name, raw string
		want      time.Duration
	}{
		{"seconds", refusal + "3\r\n\r\n", 3 * time.Second},
		{"a fraction", refusal + "0.25\r\n\r\n", 250 * time.Millisecond},
		{"beyond an hour", refusal + "1e12\r\n\r\n", time.Hour},
		{"none", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", 0},
		{"zero", refusal + "0\r\n\r\n", 0},
		{"not a number", refusal + "NaN\r\n\r\n", 0},
		{"another status", "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nRetry-After: 3\r\n\r\n", 0},
	}
	calls := []struct {
		name            string
		run             func(context.Context, Job) *peerpb.End
		stream, adopted bool
	}{
		{"plain service", RunPlain, false, false},
		{"whole response", RunModel, false, false},
		{"whole response, adopted", RunModel, false, true},
		{"stream", RunModel, true, false},
		{"stream, adopted", RunModel, true, true},
	}
	for _, response := range responses {
		for _, call := range calls {
			t.Run(response.name+", "+call.name, func(t *testing.T) {
				t.Parallel()
				var heard []time.Duration
				offer := streamOffer()
				offer.Stream = call.stream
				runRaw(call.run, Job{
					Offer: offer, Adopted: call.adopted, OnClosed: func(wait time.Duration) { heard = append(heard, wait) },
					Endpoint: rawEndpoint(t, func(*http.Request) rawResponse { return rawResponse{data: response.raw} }),
				})
				want := slices.DeleteFunc([]time.Duration{response.want}, func(d time.Duration) bool { return d == 0 })
				if !slices.Equal(heard, want) {
					t.Errorf("heard %v, want %v", heard, want)
				}
			})
		}
	}
}
