// Package queue orders the pending work of one shard by class and team.
//
// Classes below their floors are served first, in order of urgency. Above the
// floors, classes share the capacity by weight. The teams of a class share its
// capacity by weight as well. A class is overloaded if its backlog is larger
// than its floor. An overloaded class above its floor is served after all
// others, so beyond its floor it gets only capacity that the others leave.
// Shares are measured in occupied capacity: Take adds the cost of an item to
// its class and team, and Release subtracts it.
//
// Items of a team that fit the same workers form a subqueue. Skip excludes the
// subqueue of an item until the next pass, so that an item that does not fit
// does not block other items.
//
// Push, Next, Take and Release take O(log n) time for n items. Remove takes
// amortised constant time, so cancelling many items takes linear time. The
// package has no clock and no randomness.
package queue
