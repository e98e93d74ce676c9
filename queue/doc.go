// Package queue orders the pending work of one shard by class and team.
//
// A class below its floor goes first, the most urgent one before the others;
// above the floors, classes share by weight, and the teams of a class share
// by weight as well. A class above its floor with a large backlog is in a flood
// and comes after all others, so what it takes beyond its floor is only what
// the others leave. Shares are measured in occupied capacity: Take charges
// the cost of an item to its class and team and Release returns it.
//
// Items of a team that fit the same places form a line. Skip sets the line of an item aside until the
// next pass, so a head that does not fit holds up nobody.
//
// Push, Next, Take and Release cost O(log n) in the number of items. Remove
// costs amortised constant time, so a cancellation wave is linear in its
// size. The package has no clock and no randomness.
package queue
