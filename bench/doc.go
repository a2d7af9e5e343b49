// Package bench sends load to a fleet, verifies every response, and reports
// latency, attainment and goodput for each class.
//
// A Plan generates the seeded arrivals of an open-loop load on a Deployment. A
// LoadGenerator sends them through a Balancer and returns a Result for each.
// NewReport summarises the results in a Report. Fleet runs stand-ins, entries and
// sidecars inside one process; Experiment runs a plan on a fleet while faults are
// injected, and checks the guarantees; ScalingReport holds what coordination
// costs as a fleet and its state grow.
package bench
