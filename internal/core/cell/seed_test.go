package cell

import "flag"

// init gives TestModel a fixed seed and long runs. Flags on the command line override these values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
