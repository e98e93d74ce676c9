// Package quota holds the arithmetic of team quotas: guaranteed shares,
// borrowing of capacity that others leave idle, and the order in which
// borrowers give it back. It has no clock and does no I/O.
//
// Teams form a tree. The usage of a team includes that of the teams below it,
// and the guarantee of a team is at least the sum of theirs. What a team
// itself starts counts against the part of its guarantee that no team below
// it has a claim on.
//
// Invariant: if every charge was admitted without a shortfall, no team exceeds
// its guarantee plus its borrow limit, and all teams together do not exceed
// the capacity.
package quota
