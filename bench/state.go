package bench

// This file defines the experiments about state on the platform's log.

func stateExperiments() []*Experiment { return nil }
