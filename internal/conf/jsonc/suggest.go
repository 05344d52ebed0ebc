package jsonc

import "fmt"

// Suggest returns ", did you mean "x"?" for the known name most similar to the
// given one, or "" if none is similar.
func Suggest(name string, known []string) string {
	best, bestDist := "", 1+max(1, len(name)/3)
	for _, k := range known {
		if d := editDistance(name, k); d < bestDist {
			best, bestDist = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		prev := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, prev+cost)
			prev, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
