// Package fleetv1 is the protocol between the daemons of one fleet, generated
// from fleet.proto. The generated code is committed; the build needs no generator.
package fleetv1

//go:generate ../../generate.sh
