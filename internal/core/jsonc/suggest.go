package jsonc

import (
	"fmt"
	"strings"
)

// Suggestion returns `, did you mean "x"?` for the known name closest to name, or nothing if none is close. A close name
// differs in at most two letters or a third of name's letters, whichever is more, and not in all of them.
func Suggestion(name string, known []string) string {
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, k := range known {
		d := levenshtein(strings.ToLower(name), k)
		// A name that only lacks its unit or qualifier counts as one wrong letter.
		if len(name) >= 3 && (strings.HasPrefix(k, name+"_") || strings.HasSuffix(k, "_"+name) || strings.Contains(k, "_"+name+"_")) {
			d = min(d, 1)
		}
		if d < bestDistance && d < len(name) {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

// levenshtein returns the Levenshtein distance of two strings, counted in bytes.
func levenshtein(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
