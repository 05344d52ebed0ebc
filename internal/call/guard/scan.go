package guard

import "bytes"

// headScan follows the lines of a request's head.
type headScan struct {
	size  int  // bytes so far
	line  int  // bytes of the current line, without CR
	begun bool // a line that is not empty was read: servers skip empty ones before the head
	ended bool
}

// scan reads the next bytes. It returns how many belong to the head, and how many lines end in them.
func (h *headScan) scan(read []byte) (size, lines int) {
	for rest := read; len(rest) > 0 && !h.ended; {
		end := bytes.IndexByte(rest, '\n')
		text := rest
		if end >= 0 {
			text = rest[:end]
		}
		h.line += len(text)
		if bytes.HasSuffix(text, []byte{'\r'}) {
			h.line--
		}
		if end < 0 {
			size += len(rest)
			break
		}
		size, lines, rest = size+end+1, lines+1, rest[end+1:]
		h.ended = h.begun && h.line == 0
		h.begun, h.line = h.begun || h.line > 0, 0
	}
	h.size += size
	return size, lines
}
