package placement

// scoreSpread prefers racks with few instances of the service, so that the loss of a rack takes down few of them.
func scoreSpread(s *scoreInput) float64 { return 1 / float64(1+s.instances) }
