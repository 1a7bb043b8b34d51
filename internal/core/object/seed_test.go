package object

import "flag"

// Property tests have a fixed seed unless the command line sets another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
