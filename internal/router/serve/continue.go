package serve

import (
	"net/http"
	"strings"
)

// classifyStream returns the verdict on a response to a streaming call, or on an error.
// begun means that the caller has the beginning of another endpoint's response, which
// only an event stream can continue.
func classifyStream(resp *Response, err error, begun bool) verdict {
	v := classify(resp, err)
	if v == verdictGood && begun && !isEventStream(resp) {
		return verdictUnfit
	}
	return v
}

// isEventStream reports whether the body of a valid response is a stream of events. One
// without a content type counts as such on a streaming route.
func isEventStream(resp *Response) bool {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return resp.Status == http.StatusOK && (mediaType == "" || strings.EqualFold(mediaType, "text/event-stream"))
}
