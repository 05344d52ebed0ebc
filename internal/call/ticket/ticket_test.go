package ticket

import "testing"

func FuzzParse(f *testing.F) {
	f.Add(New("galway-a", "depot-1", 77, 5).String())
	f.Add("ticket:")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(got.String())
		if err != nil || again != got {
			t.Fatalf("%q parses as %v, after formatting as %v: %v", text, got, again, err)
		}
	})
}
