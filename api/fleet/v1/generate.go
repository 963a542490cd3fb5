// Package fleetv1 defines the protocol between the daemons of a fleet. It is
// generated from fleet.proto. The generated code is committed, so the build
// needs no generator.
package fleetv1

//go:generate ../../generate.sh
