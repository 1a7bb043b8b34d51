package cell

import "flag"

// The model has a fixed seed and long runs unless the command line sets others.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
