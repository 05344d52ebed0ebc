package callid

import "testing"

func FuzzParseEventID(f *testing.F) {
	f.Add("0123456789abcdef.galway-a.plans-1.1z/7")
	f.Add("x")
	f.Fuzz(func(t *testing.T, text string) {
		id, index, err := ParseEventID(text)
		if err != nil {
			return
		}
		again, sameIndex, err := ParseEventID(id.EventID(index))
		if err != nil || again != id || sameIndex != index {
			t.Fatalf("%q parses as %v/%d, after formatting as %v/%d: %v", text, id, index, again, sameIndex, err)
		}
	})
}
