//go:build race

package integration_test

// raceFlag builds the daemons with the race detector if the tests use it.
var raceFlag = []string{"-race"}
