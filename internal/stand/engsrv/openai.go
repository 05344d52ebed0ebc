package engsrv

import (
	"fmt"
	"strings"
)

// completionRequest holds the fields of an OpenAI request that the stand-in reads.
type completionRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Prompt              string    `json:"prompt"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	Stop                any       `json:"stop"`
	Priority            int       `json:"priority"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type apiError struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func (r *completionRequest) promptText() string {
	var b strings.Builder
	for _, m := range r.Messages {
		fmt.Fprintf(&b, "%s: %v\n", m.Role, m.Content)
	}
	b.WriteString(r.Prompt)
	return b.String()
}

// limitLength limits an output length to the token limits of the request.
func (r *completionRequest) limitLength(length int) int {
	for _, n := range []int{r.MaxTokens, r.MaxCompletionTokens} {
		if n > 0 {
			length = min(length, n)
		}
	}
	return length
}

func (s *Server) newCompletion(st *stream, object string) completion {
	return completion{ID: "cmpl-" + st.id, Object: object, Created: 1, Model: s.cfg.Model}
}

func (s *Server) chunk(st *stream, token, reason string, first bool) []byte {
	c := choice{}
	if reason != "" {
		c.FinishReason = &reason
	}
	if st.chat {
		c.Delta = &delta{Content: token}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &token
	}
	object := "text_completion"
	if st.chat {
		object = "chat.completion.chunk"
	}
	out := s.newCompletion(st, object)
	out.Choices = []choice{c}
	return marshal(out)
}

func (s *Server) usageChunk(st *stream) []byte {
	out := s.newCompletion(st, "chat.completion.chunk")
	out.Choices = []choice{}
	out.Usage = st.tokenUsage()
	return marshal(out)
}

func (s *Server) responseBody(st *stream) []byte {
	reason := "stop"
	text := st.text.String()
	object := "text_completion"
	c := choice{FinishReason: &reason}
	if st.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	out := s.newCompletion(st, object)
	out.Choices = []choice{c}
	out.Usage = st.tokenUsage()
	return marshal(out)
}

func (st *stream) tokenUsage() *usage {
	return &usage{Prompt: st.seq.Prompt, Completion: st.seq.Produced, Total: st.seq.Prompt + st.seq.Produced}
}
