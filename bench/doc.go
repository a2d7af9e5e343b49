// Package bench puts load on a fleet, judges every answer, and reports what
// callers of each class got.
//
// A Plan holds the seeded arrivals of an open-loop load over a Deployment. A LoadGenerator
// sends them through a Balancer and returns a Result for each. Account sums the
// results to a Report. Fleet runs stand-ins, entries and sidecars inside one
// process; Experiment puts a plan and faults on a fleet and checks its promises;
// ScalingReport measures what control costs as a fleet grows.
package bench
