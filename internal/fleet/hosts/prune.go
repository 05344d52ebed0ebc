package hosts

// maxDepth is how deeply a row of the list may be nested: the list, its rows, their fields.
const maxDepth = 4

// prune replaces the arrays and objects of a JSON text that are nested too deeply by null. The
// decoder gives up a whole text for a single one.
func prune(body []byte) []byte {
	out := make([]byte, 0, len(body))
	depth, inText := 0, false
	for i := 0; i < len(body); i++ {
		c := body[i]
		switch {
		case inText && c == '\\':
			if i++; depth <= maxDepth && i < len(body) {
				out = append(out, c, body[i])
			}
			continue
		case c == '"':
			inText = !inText
		case inText:
		case c == '[', c == '{':
			if depth++; depth == maxDepth+1 {
				out = append(out, "null"...)
			}
		case c == ']', c == '}':
			if depth--; depth == maxDepth {
				continue // the end of what null stands for
			}
		}
		if depth <= maxDepth {
			out = append(out, c)
		}
	}
	return out
}
