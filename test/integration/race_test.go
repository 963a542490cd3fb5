//go:build race

package integration_test

// raceFlag builds the daemons with the race detector where the tests have it.
var raceFlag = []string{"-race"}
