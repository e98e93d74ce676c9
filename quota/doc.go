// Package quota computes team quotas: guaranteed shares, borrowing of idle
// capacity, and the order in which borrowers release it. It reads no clock and
// performs no I/O.
//
// Teams form a tree. The usage of a team includes that of the teams below it,
// and the guarantee of a team is at least the sum of theirs. What a team
// itself starts counts against the part of its guarantee that is not
// guaranteed to a team below it.
//
// Invariant: if every charge was admitted without a shortfall, no team exceeds
// its guarantee plus its borrow limit, and all teams together do not exceed
// the capacity.
package quota
